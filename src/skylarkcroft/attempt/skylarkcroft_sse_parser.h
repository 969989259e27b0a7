#ifndef SKYLARKCROFT_ATTEMPT_SKYLARKCROFT_SSE_PARSER_H_
#define SKYLARKCROFT_ATTEMPT_SKYLARKCROFT_SSE_PARSER_H_

#include <cstddef>
#include <functional>
#include <string>
#include <string_view>

namespace skylarkcroft {

/// One server-sent event (WHATWG HTML, section 9.2).
struct sse_event {
  std::string id;
  std::string event;
  std::string data;

  bool operator==(const sse_event&) const = default;
};

/// Parses a byte stream into server-sent events. Skips comments and unknown
/// fields, and doesn't report an event that the stream leaves unfinished.
class sse_parser {
 public:
  using event_fn = std::function<void(const sse_event&)>;

  /// `max_event_bytes` limits the bytes buffered for an unfinished event.
  sse_parser(size_t max_event_bytes, event_fn on_event);

  /// Calls `on_event` for each event completed by `bytes`. Returns false once
  /// an event has exceeded `max_event_bytes`; all further input is ignored.
  bool Feed(std::string_view bytes);

 private:
  void ProcessLine(std::string_view line);

  size_t max_event_bytes_;
  event_fn on_event_;
  std::string line_;
  sse_event event_;
  bool has_data_ = false;
  bool overflowed_ = false;
};

/// `event` as sent on the wire, with the blank line that ends it.
std::string FormatSse(const sse_event& event);

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_ATTEMPT_SKYLARKCROFT_SSE_PARSER_H_
