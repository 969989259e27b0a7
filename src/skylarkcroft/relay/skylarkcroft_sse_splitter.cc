#include "skylarkcroft/relay/skylarkcroft_sse_splitter.h"

#include <algorithm>
#include <charconv>

namespace skylarkcroft {
namespace {

constexpr std::string_view kIdField = "id:";

std::optional<int64_t> ParseEventId(std::string_view event) {
  while (!event.empty()) {
    const size_t end = std::min(event.find('\n'), event.size());
    std::string_view line = event.substr(0, end);
    event.remove_prefix(std::min(end + 1, event.size()));
    if (!line.starts_with(kIdField)) {
      continue;
    }
    line.remove_prefix(kIdField.size());
    while (!line.empty() && line.front() == ' ') {
      line.remove_prefix(1);
    }
    int64_t id = 0;
    const auto parsed =
        std::from_chars(line.data(), line.data() + line.size(), id);
    if (parsed.ec == std::errc()) {
      return id;
    }
  }
  return std::nullopt;
}

// Position after the first blank line at or after `from`; npos if none.
size_t FindEventEnd(std::string_view text, size_t from) {
  for (size_t at = text.find('\n', from); at != std::string_view::npos;
       at = text.find('\n', at + 1)) {
    const std::string_view after = text.substr(at + 1);
    if (after.starts_with("\n")) {
      return at + 2;
    }
    if (after.starts_with("\r\n")) {
      return at + 3;
    }
  }
  return std::string_view::npos;
}

}  // namespace

std::vector<raw_sse_event> sse_splitter::Feed(std::string_view bytes) {
  // The blank line that ends an event may be split between two reads.
  constexpr size_t kLookbackBytes = 3;
  size_t from = remainder_.size() < kLookbackBytes
                    ? 0
                    : remainder_.size() - kLookbackBytes;
  remainder_.append(bytes);
  std::vector<raw_sse_event> events;
  size_t begin = 0;
  for (size_t end = FindEventEnd(remainder_, from); end != std::string::npos;
       end = FindEventEnd(remainder_, begin)) {
    raw_sse_event event{remainder_.substr(begin, end - begin), std::nullopt};
    event.id = ParseEventId(event.bytes);
    events.push_back(std::move(event));
    begin = end;
  }
  remainder_.erase(0, begin);
  return events;
}

}  // namespace skylarkcroft
