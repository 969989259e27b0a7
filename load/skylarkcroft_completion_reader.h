#ifndef SKYLARKCROFT_LOAD_SKYLARKCROFT_COMPLETION_READER_H_
#define SKYLARKCROFT_LOAD_SKYLARKCROFT_COMPLETION_READER_H_

#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "load/skylarkcroft_answer_check.h"
#include "load/skylarkcroft_told_problem.h"
#include "skylarkcroft/attempt/skylarkcroft_sse_parser.h"
#include "skylarkcroft/internal/skylarkcroft_time.h"

namespace skylarkcroft::load {

/// Reads the answer to one completion, streamed or whole, over all connections
/// that carry parts of it: checks the tokens and notes when they came.
class completion_reader {
 public:
  completion_reader(answer_check check, time_point intended);

  /// Starts on a new connection's body.
  void StartStream();
  void FeedStream(std::string_view bytes, time_point now);
  /// A whole JSON answer.
  void TakeBody(const std::string& body);

  /// The end marker, or the whole answer, has been read.
  [[nodiscard]] bool ended() const { return check_.ended(); }
  [[nodiscard]] const answer_check& check() const { return check_; }
  /// The error event that ended the stream, if one did.
  [[nodiscard]] const std::optional<told_problem>& error() const {
    return error_;
  }
  [[nodiscard]] std::optional<duration> first_token() const {
    return first_token_;
  }
  [[nodiscard]] const std::vector<duration>& token_gaps() const {
    return token_gaps_;
  }

 private:
  void TakeEvent(const sse_event& event, time_point now);
  void TakeChoice(const std::string& id, const nlohmann::json& choice,
                  time_point now);
  void NoteToken(time_point now);

  answer_check check_;
  time_point intended_;
  time_point now_;
  sse_parser parser_;
  std::optional<told_problem> error_;
  std::optional<duration> first_token_;
  time_point last_token_at_;
  std::vector<duration> token_gaps_;
};

}  // namespace skylarkcroft::load

#endif  // SKYLARKCROFT_LOAD_SKYLARKCROFT_COMPLETION_READER_H_
