#ifndef SKYLARKCROFT_LOAD_SKYLARKCROFT_EVENT_STREAM_PARSER_H_
#define SKYLARKCROFT_LOAD_SKYLARKCROFT_EVENT_STREAM_PARSER_H_

#include <functional>
#include <string>
#include <string_view>

namespace skylarkcroft::load {

/// One server-sent event. `id` is empty when the event carries none.
struct stream_event {
  std::string id;
  std::string name;
  std::string data;

  bool operator==(const stream_event&) const = default;
};

/// Splits a `text/event-stream` body, given in pieces, into events. Comments
/// and events without data are dropped.
class event_stream_parser {
 public:
  explicit event_stream_parser(
      std::function<void(const stream_event&)> on_event)
      : on_event_(std::move(on_event)) {}

  void Feed(std::string_view bytes);

 private:
  void TakeLine(std::string_view line);

  std::function<void(const stream_event&)> on_event_;
  std::string partial_line_;
  stream_event current_;
  bool has_data_ = false;
};

}  // namespace skylarkcroft::load

#endif  // SKYLARKCROFT_LOAD_SKYLARKCROFT_EVENT_STREAM_PARSER_H_
