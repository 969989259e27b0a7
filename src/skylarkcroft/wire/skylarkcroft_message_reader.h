#ifndef SKYLARKCROFT_WIRE_SKYLARKCROFT_MESSAGE_READER_H_
#define SKYLARKCROFT_WIRE_SKYLARKCROFT_MESSAGE_READER_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "skylarkcroft/http/skylarkcroft_http_message.h"

namespace skylarkcroft {

/// Start line and header fields of one HTTP/1.1 message.
struct message_head {
  std::string method{};  ///< Requests only.
  std::string target{};  ///< Requests only: path and query.
  int status = 0;        ///< Responses only.
  http_headers headers{};
  /// HTTP/1.0, whose peers know neither chunks nor kept connections.
  bool is_http_1_0 = false;
  bool keep_alive = true;
  bool chunked = false;
  std::optional<uint64_t> content_length{};

  bool operator==(const message_head&) const = default;
};

enum class message_kind { kRequest, kResponse };

enum class read_state {
  kMore,       ///< The message is incomplete; more bytes are needed.
  kEnded,      ///< The message is complete; later bytes were not consumed.
  kMalformed,  ///< The bytes are not a valid message, its framing is ambiguous,
               ///< its status is none of 100 to 599, or too many interim
               ///< responses come before it.
  kTooLarge,   ///< The head exceeds max_head_bytes, has more lines than fit
               ///< into them, or is preceded by too many empty lines.
};

struct read_progress {
  size_t consumed = 0;
  read_state state = read_state::kMore;

  bool operator==(const read_progress&) const = default;
};

/// Callbacks of a message_reader; all must be set.
struct message_events {
  /// May move from the head.
  std::function<void(message_head&&)> on_head;
  std::function<void(std::string_view)> on_body;
};

/// Incremental parser of HTTP/1.1 messages, based on http_parser. Rejects
/// framing that two parsers could interpret differently, to prevent request
/// smuggling.
///
/// A head is bounded while it is read: the bytes of its target, names and
/// values by max_head_bytes, its lines by as many of the shortest lines as fit
/// into that, and all its bytes, with empty lines before it and white space, by
/// twice that and a little more. A head that has max_head_bytes as sent meets
/// none of the bounds.
class message_reader {
 public:
  message_reader(message_kind kind, size_t max_head_bytes,
                 message_events events);
  ~message_reader();
  message_reader(const message_reader&) = delete;
  message_reader& operator=(const message_reader&) = delete;

  /// Changes the limit of the current message and those after it.
  void SetMaxHeadBytes(size_t max_head_bytes);
  /// Parses `bytes` up to the end of the current message.
  read_progress Feed(std::string_view bytes);
  /// Handles the end of the peer's stream. Returns kEnded if the message is
  /// complete with it, otherwise kMalformed.
  read_state FeedEof();
  /// Prepares for the next message. `head_only` must be set for a response to a
  /// HEAD request, which has no body.
  void Reset(bool head_only = false);
  /// True once a byte of the current message was read.
  [[nodiscard]] bool started() const;
  /// Memory that the head takes, in bytes, until on_head is called.
  [[nodiscard]] size_t held_bytes() const;

 private:
  class impl;
  std::unique_ptr<impl> impl_;
};

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_WIRE_SKYLARKCROFT_MESSAGE_READER_H_
