#ifndef SKYLARKCROFT_TESTS_HISTORY_SKYLARKCROFT_SOAK_CALLER_H_
#define SKYLARKCROFT_TESTS_HISTORY_SKYLARKCROFT_SOAK_CALLER_H_

#include <cstdint>
#include <random>
#include <string>
#include <vector>

#include "skylarkcroft/http/skylarkcroft_http_client.h"
#include "skylarkcroft/internal/skylarkcroft_event_loop.h"
#include "tests/history/skylarkcroft_history.h"
#include "tests/history/skylarkcroft_soak_balancer.h"
#include "tests/history/skylarkcroft_soak_targets.h"

namespace skylarkcroft::history {

/// Idempotency keys lately used by all callers, so that they race on them.
class recent_keys {
 public:
  /// A new key, or one of the last few.
  std::string Choose(std::mt19937_64& random);

 private:
  std::vector<std::string> keys_;
  int64_t next_ = 1;
};

/// What all callers of a run share.
struct caller_environment {
  event_loop& loop;
  http_client& client;
  const soak_targets& targets;
  run_history& history;
  recent_keys& keys;
  const soak_balancer& balancer;
};

/// One caller that sends a request after another through the balancer: streamed
/// and whole completions, answers read again, orders with and without a key.
class soak_caller {
 public:
  soak_caller(const caller_environment& environment, std::string name,
              uint64_t seed);

  void Start() { WaitForNext(); }
  /// Sends nothing more; what is under way goes on.
  void Stop() { stopped_ = true; }
  [[nodiscard]] bool idle() const { return call_ == nullptr; }

 private:
  /// One request under way.
  struct call_state {
    request_event event;
    http_request request;
    bool streamed = false;
    /// Number of the first token expected.
    int64_t first_token = 1;
    int64_t tokens = 0;
    std::string prompt;
    std::string request_id;
    std::string body;
  };

  void WaitForNext();
  void SendNext();
  call_state MakeCompletion(bool streamed);
  call_state MakeOrder(bool keyed);
  call_state MakeReadAgain();
  void Send(call_state state);
  void OnDone(const http_result& result);
  void TakeAnswer(const http_response& response);
  void TakeStream();
  void TakeProblem(const std::string& text);
  int64_t Below(int64_t bound);

  caller_environment environment_;
  std::string name_;
  std::mt19937_64 random_;
  bool stopped_ = false;
  int64_t number_ = 0;
  call_state now_;
  /// The last streamed completion that was answered, to be read again.
  call_state last_streamed_;
  http_call_ptr call_;
  event_loop::handle_ptr timer_;
};

}  // namespace skylarkcroft::history

#endif  // SKYLARKCROFT_TESTS_HISTORY_SKYLARKCROFT_SOAK_CALLER_H_
