#ifndef SKYLARKCROFT_NODE_SKYLARKCROFT_ANSWER_WRITER_H_
#define SKYLARKCROFT_NODE_SKYLARKCROFT_ANSWER_WRITER_H_

#include <functional>
#include <memory>
#include <string>

#include "skylarkcroft/attempt/skylarkcroft_buffered_response.h"
#include "skylarkcroft/attempt/skylarkcroft_completion_request.h"
#include "skylarkcroft/http/skylarkcroft_http_server.h"

namespace skylarkcroft {

/// How an answer is put on the wire.
struct answer_form {
  enum class kind {
    kEventStream,  ///< Server-sent events, one a token.
    kCompletion,   ///< One JSON document with the whole text.
    kPlain,        ///< The plain service's answer as it is.
  };

  kind what = kind::kPlain;
  /// True for the chat form of a completion.
  bool chat = false;
  std::string request_id;
  std::string model;
  /// Tokens the caller already has.
  int64_t after_offset = 0;

  bool operator==(const answer_form&) const = default;
};

/// Writes one answer to one caller as it grows. Destroying it stops reading the
/// answer. `on_end(delivered)` runs once, when the answer has been written or
/// the caller has gone; the writer may be destroyed after it has returned.
class answer_writer {
 public:
  answer_writer(std::shared_ptr<buffered_response> source,
                http_exchange_ptr exchange, answer_form form,
                std::function<void(bool delivered)> on_end);
  ~answer_writer();
  answer_writer(const answer_writer&) = delete;
  answer_writer& operator=(const answer_writer&) = delete;

  /// Writes what there is and follows the answer from then on.
  void Start();

 private:
  void OnChange();
  void WriteEvents();
  void WriteEnd();
  void ReplyCompletion();
  /// Passes on the upstream's response: a plain service's, or an engine's
  /// rejection.
  void ReplyWithResponse();
  void ReplyFailure();
  void End(bool delivered);

  std::shared_ptr<buffered_response> source_;
  http_exchange_ptr exchange_;
  answer_form form_;
  std::function<void(bool)> on_end_;
  buffered_response::reader_id reader_ = 0;
  size_t next_token_ = 0;
  bool head_written_ = false;
  bool ended_ = false;
};

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_NODE_SKYLARKCROFT_ANSWER_WRITER_H_
