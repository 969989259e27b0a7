#include "load/skylarkcroft_event_stream_parser.h"

#include <utility>

namespace skylarkcroft::load {

void event_stream_parser::Feed(std::string_view bytes) {
  while (!bytes.empty()) {
    const size_t end = bytes.find('\n');
    if (end == std::string_view::npos) {
      partial_line_ += bytes;
      return;
    }
    partial_line_ += bytes.substr(0, end);
    bytes.remove_prefix(end + 1);
    const std::string line = std::exchange(partial_line_, {});
    TakeLine(line.ends_with('\r')
                 ? std::string_view{line}.substr(0, line.size() - 1)
                 : std::string_view{line});
  }
}

void event_stream_parser::TakeLine(std::string_view line) {
  if (line.empty()) {
    const stream_event event = std::exchange(current_, {});
    if (std::exchange(has_data_, false)) {
      on_event_(event);
    }
    return;
  }
  const size_t colon = line.find(':');
  const std::string_view field = line.substr(0, colon);
  std::string_view value;
  if (colon != std::string_view::npos) {
    value = line.substr(colon + 1);
  }
  if (value.starts_with(' ')) {
    value.remove_prefix(1);
  }
  if (field == "id") {
    current_.id = value;
  } else if (field == "event") {
    current_.name = value;
  } else if (field == "data") {
    if (has_data_) {
      current_.data += '\n';
    }
    current_.data += value;
    has_data_ = true;
  }
}

}  // namespace skylarkcroft::load
