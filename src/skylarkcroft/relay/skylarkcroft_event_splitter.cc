#include "skylarkcroft/relay/skylarkcroft_event_splitter.h"

#include <algorithm>
#include <charconv>

namespace skylarkcroft {
namespace {

constexpr std::string_view kIdField = "id:";

std::optional<int64_t> ReadId(std::string_view event) {
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

// Position after the first blank line at or after `from`, or npos.
size_t EndOfEvent(std::string_view text, size_t from) {
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

std::vector<raw_event> event_splitter::Feed(std::string_view bytes) {
  // A blank line may straddle two reads.
  constexpr size_t kLongestMark = 3;
  size_t from = rest_.size() < kLongestMark ? 0 : rest_.size() - kLongestMark;
  rest_.append(bytes);
  std::vector<raw_event> events;
  size_t begin = 0;
  for (size_t end = EndOfEvent(rest_, from); end != std::string::npos;
       end = EndOfEvent(rest_, begin)) {
    raw_event event{rest_.substr(begin, end - begin), std::nullopt};
    event.id = ReadId(event.bytes);
    events.push_back(std::move(event));
    begin = end;
  }
  rest_.erase(0, begin);
  return events;
}

}  // namespace skylarkcroft
