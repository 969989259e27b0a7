#include "skylarkcroft/attempt/skylarkcroft_sse_parser.h"

#include <utility>

namespace skylarkcroft {

sse_parser::sse_parser(size_t max_event_bytes, event_fn on_event)
    : max_event_bytes_(max_event_bytes), on_event_(std::move(on_event)) {}

bool sse_parser::Feed(std::string_view bytes) {
  while (!bytes.empty() && !overflowed_) {
    const size_t end = bytes.find('\n');
    const std::string_view chunk = bytes.substr(0, end);
    line_ += chunk;
    if (line_.size() + event_.data.size() > max_event_bytes_) {
      overflowed_ = true;
      break;
    }
    if (end == std::string_view::npos) {
      break;
    }
    bytes.remove_prefix(end + 1);
    if (!line_.empty() && line_.back() == '\r') {
      line_.pop_back();
    }
    const std::string line = std::exchange(line_, {});
    ProcessLine(line);
  }
  return !overflowed_;
}

void sse_parser::ProcessLine(std::string_view line) {
  if (line.empty()) {
    const sse_event complete = std::exchange(event_, {});
    if (std::exchange(has_data_, false)) {
      on_event_(complete);
    }
    return;
  }
  const size_t colon = line.find(':');
  const std::string_view field = line.substr(0, colon);
  std::string_view value =
      colon == std::string_view::npos ? "" : line.substr(colon + 1);
  if (!value.empty() && value.front() == ' ') {
    value.remove_prefix(1);
  }
  if (field == "data") {
    if (has_data_) {
      event_.data += '\n';
    }
    event_.data += value;
    has_data_ = true;
  } else if (field == "id") {
    event_.id = value;
  } else if (field == "event") {
    event_.event = value;
  }
}

std::string FormatSse(const sse_event& event) {
  std::string text;
  if (!event.id.empty()) {
    text += "id: " + event.id + "\n";
  }
  if (!event.event.empty()) {
    text += "event: " + event.event + "\n";
  }
  text += "data: " + event.data + "\n\n";
  return text;
}

}  // namespace skylarkcroft
