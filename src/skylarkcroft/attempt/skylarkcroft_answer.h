#ifndef SKYLARKCROFT_ATTEMPT_SKYLARKCROFT_ANSWER_H_
#define SKYLARKCROFT_ATTEMPT_SKYLARKCROFT_ANSWER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "skylarkcroft/http/skylarkcroft_http_message.h"
#include "skylarkcroft/http/skylarkcroft_problem.h"

namespace skylarkcroft {

/// The answer to one request as far as it has come, kept so that it can be read
/// again from any offset. Readers are told of every change.
class answer {
 public:
  enum class state {
    kWaiting,    ///< Accepted; nothing has been sent upstream yet.
    kStreaming,  ///< An upstream is at work.
    kComplete,
    kFailed,
  };
  using reader_id = int64_t;

  answer() = default;
  answer(const answer&) = delete;
  answer& operator=(const answer&) = delete;

  /// Each has no effect once the answer is complete or failed.
  void BeginStreaming();
  /// Token `tokens().size() + 1` of the stream: its event's data.
  void AppendToken(std::string data);
  void SetUsage(std::string data);
  /// Starts the answer with the tokens that another node had.
  void Preload(std::vector<std::string> tokens);
  void Complete();
  /// A plain service's whole answer.
  void CompleteWith(http_response response);
  void Fail(problem why);

  [[nodiscard]] state current() const { return state_; }
  [[nodiscard]] bool ended() const {
    return state_ == state::kComplete || state_ == state::kFailed;
  }
  [[nodiscard]] const std::vector<std::string>& tokens() const {
    return tokens_;
  }
  [[nodiscard]] const std::string& usage() const { return usage_; }
  [[nodiscard]] const std::optional<http_response>& response() const {
    return response_;
  }
  [[nodiscard]] const std::optional<problem>& failure() const {
    return failure_;
  }

  /// `on_change` runs after each change until RemoveReader.
  reader_id AddReader(std::function<void()> on_change);
  void RemoveReader(reader_id reader);
  [[nodiscard]] bool HasReaders() const { return !readers_.empty(); }

 private:
  void Notify();

  state state_ = state::kWaiting;
  std::vector<std::string> tokens_;
  std::string usage_;
  std::optional<http_response> response_;
  std::optional<problem> failure_;
  std::map<reader_id, std::function<void()>> readers_;
  reader_id next_reader_ = 1;
};

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_ATTEMPT_SKYLARKCROFT_ANSWER_H_
