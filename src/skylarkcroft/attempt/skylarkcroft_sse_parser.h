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

/// Splits a byte stream into server-sent events. Comments and unknown fields
/// are skipped; an event that the stream ends within is not reported.
class sse_parser {
 public:
  using event_fn = std::function<void(const sse_event&)>;

  /// `max_event_bytes` bounds what is held of an unfinished event.
  sse_parser(size_t max_event_bytes, event_fn on_event);

  /// Reports the events that `bytes` completes. Returns false once an event has
  /// exceeded the bound; the parser then ignores all further input.
  bool Feed(std::string_view bytes);

 private:
  void TakeLine(std::string_view line);

  size_t max_event_bytes_;
  event_fn on_event_;
  std::string line_;
  sse_event event_;
  bool has_data_ = false;
  bool overflowed_ = false;
};

/// The wire form of `event`, with its closing blank line.
std::string FormatSse(const sse_event& event);

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_ATTEMPT_SKYLARKCROFT_SSE_PARSER_H_
