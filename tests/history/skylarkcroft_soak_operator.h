#ifndef SKYLARKCROFT_TESTS_HISTORY_SKYLARKCROFT_SOAK_OPERATOR_H_
#define SKYLARKCROFT_TESTS_HISTORY_SKYLARKCROFT_SOAK_OPERATOR_H_

#include <cstdint>
#include <random>
#include <string>

#include "skylarkcroft/http/skylarkcroft_http_client.h"
#include "skylarkcroft/internal/skylarkcroft_event_loop.h"
#include "tests/history/skylarkcroft_history.h"
#include "tests/history/skylarkcroft_soak_targets.h"

namespace skylarkcroft::history {

/// One operator that puts the pools table again and again through random nodes,
/// half of the time on condition of the last revision it knows.
class soak_operator {
 public:
  soak_operator(event_loop& loop, http_client& client,
                const soak_targets& targets, run_history& history,
                std::string name, uint64_t seed);

  void Start() { WaitForNext(); }
  void Stop() { stopped_ = true; }
  [[nodiscard]] bool idle() const { return call_ == nullptr; }

 private:
  void WaitForNext();
  void SendNext();
  void OnDone(const http_result& result);

  event_loop& loop_;
  http_client& client_;
  const soak_targets& targets_;
  run_history& history_;
  std::string name_;
  std::mt19937_64 random_;
  bool stopped_ = false;
  int64_t number_ = 0;
  int64_t last_revision_ = 0;
  edit_event now_;
  http_call_ptr call_;
  event_loop::handle_ptr timer_;
};

}  // namespace skylarkcroft::history

#endif  // SKYLARKCROFT_TESTS_HISTORY_SKYLARKCROFT_SOAK_OPERATOR_H_
