#include "skylarkcroft/http/skylarkcroft_announcement.h"

#include <algorithm>
#include <charconv>
#include <cmath>

namespace skylarkcroft {
namespace {

constexpr int kUnavailable = 503;

std::optional<milliseconds> ParsePause(const std::string& text) {
  constexpr double kMillisPerSecond = 1000;
  constexpr double kMaxSeconds = 86400;
  double seconds = 0;
  const auto parsed =
      std::from_chars(text.data(), text.data() + text.size(), seconds);
  const bool valid =
      parsed.ec == std::errc() && parsed.ptr == text.data() + text.size();
  // Not a number is not above 0 either.
  if (!valid || !(seconds > 0)) {
    return std::nullopt;
  }
  return milliseconds(static_cast<milliseconds::rep>(
      std::ceil(std::min(seconds, kMaxSeconds) * kMillisPerSecond)));
}

}  // namespace

announcement ReadAnnouncement(int status, const http_headers& headers,
                              const std::string& leaving_header) {
  announcement told;
  told.is_leaving = headers.Get(leaving_header) == "1";
  if (status == kUnavailable) {
    told.pause = ParsePause(headers.Get("Retry-After"));
  }
  return told;
}

}  // namespace skylarkcroft
