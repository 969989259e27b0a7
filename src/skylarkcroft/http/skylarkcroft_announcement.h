#ifndef SKYLARKCROFT_HTTP_SKYLARKCROFT_ANNOUNCEMENT_H_
#define SKYLARKCROFT_HTTP_SKYLARKCROFT_ANNOUNCEMENT_H_

#include <optional>
#include <string>

#include "skylarkcroft/http/skylarkcroft_http_message.h"
#include "skylarkcroft/internal/skylarkcroft_time.h"

namespace skylarkcroft {

/// What an upstream tells of itself in the head of a response.
struct announcement {
  bool is_leaving = false;
  /// It wants no requests from this node for this time.
  std::optional<milliseconds> pause{};

  bool operator==(const announcement&) const = default;
};

/// Reads the header `leaving_header` ("1" where the upstream leaves) and, with
/// the status 503, Retry-After in seconds, which may have a fraction and counts
/// for a day at most. What cannot be read counts as absent.
announcement ReadAnnouncement(int status, const http_headers& headers,
                              const std::string& leaving_header);

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_HTTP_SKYLARKCROFT_ANNOUNCEMENT_H_
