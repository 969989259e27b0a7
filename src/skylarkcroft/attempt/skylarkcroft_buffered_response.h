#ifndef SKYLARKCROFT_ATTEMPT_SKYLARKCROFT_BUFFERED_RESPONSE_H_
#define SKYLARKCROFT_ATTEMPT_SKYLARKCROFT_BUFFERED_RESPONSE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "skylarkcroft/http/skylarkcroft_http_message.h"
#include "skylarkcroft/http/skylarkcroft_problem.h"

namespace skylarkcroft {

/// Buffers the part of one request's response received so far, so that it can
/// be read again from any token offset. Notifies registered readers when a
/// token arrives and when the state changes.
class buffered_response {
 public:
  enum class state {
    kWaiting,    ///< Accepted; nothing has been sent upstream yet.
    kStreaming,  ///< An upstream is sending the response.
    kComplete,
    kFailed,
  };
  using reader_id = int64_t;

  buffered_response() = default;
  buffered_response(const buffered_response&) = delete;
  buffered_response& operator=(const buffered_response&) = delete;

  // Except for RestoreTokens, none of these has an effect once the response has
  // completed or failed.

  void BeginStreaming();
  /// Appends one token; `data` is the data field of its server-sent event.
  void AppendToken(std::string data);
  /// Stores the data of the event that carries `usage`; notifies no reader.
  void SetUsage(std::string data);
  /// Sets the tokens that another node had received before it handed the
  /// request over.
  void RestoreTokens(std::vector<std::string> tokens);
  void Complete();
  /// Completes with the whole response of a plain service, or an engine's
  /// rejection of a request of which no token has arrived.
  void CompleteWith(http_response response);
  void Fail(problem cause);

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

  /// Calls `on_change` after each change until RemoveReader is called.
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

#endif  // SKYLARKCROFT_ATTEMPT_SKYLARKCROFT_BUFFERED_RESPONSE_H_
