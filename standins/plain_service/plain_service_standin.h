#ifndef SKYLARKCROFT_STANDINS_PLAIN_SERVICE_PLAIN_SERVICE_STANDIN_H_
#define SKYLARKCROFT_STANDINS_PLAIN_SERVICE_PLAIN_SERVICE_STANDIN_H_

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "skylarkcroft/internal/skylarkcroft_event_loop.h"
#include "standins/common/lagged_value.h"
#include "standins/common/standin_server.h"
#include "standins/plain_service/run_ledger.h"

namespace skylarkcroft::standin {

/// How one plain service stand-in behaves.
struct plain_service_options {
  endpoint listen{"127.0.0.1", 0};
  uint64_t seed = 1;
  /// Time that one run takes.
  milliseconds service_time{5};
  /// Runs at once; further requests wait in order of arrival.
  int slots = 64;
  /// Requests that may wait before further ones are answered as not run.
  int max_waiting = 1024;
  milliseconds load_lag{500};
};

/// Counts since the start, the answer of `GET /admin/stats`.
struct plain_service_stats {
  int64_t requests = 0;
  /// Runs begun, by idempotency key or request id.
  std::map<std::string, int64_t> runs;
  int max_running = 0;
  int64_t received_while_leaving = 0;

  bool operator==(const plain_service_stats&) const = default;
};

/// One sample of a service's load, the answer of `GET /load`.
struct plain_load_report {
  int64_t seq = 0;
  /// Milliseconds since the Unix epoch.
  int64_t sampled_at_ms = 0;
  int running = 0;
  int waiting = 0;
  int slots = 0;
  bool leaving = false;

  bool operator==(const plain_load_report&) const = default;
};

/// One plain service on one port, as docs/upstream-protocol.md describes it. It
/// answers with what it was asked, and counts each run.
class plain_service_standin {
 public:
  /// Throws network_error when the address cannot be bound.
  plain_service_standin(event_loop& loop, const plain_service_options& options,
                        clock_fn clock);
  ~plain_service_standin();
  plain_service_standin(const plain_service_standin&) = delete;
  plain_service_standin& operator=(const plain_service_standin&) = delete;

  [[nodiscard]] const endpoint& address() const { return server_.address(); }
  [[nodiscard]] plain_service_stats stats() const;

 private:
  using run_id = uint64_t;

  struct service_run {
    run_id id = 0;
    std::string key;
    fault drawn;
    http_exchange_ptr exchange;
    run_outcome outcome;
    /// Ends the run, then a late answer's wait.
    event_loop::handle_ptr timer;
  };

  void Handle(const http_exchange_ptr& exchange);
  void HandleRequest(const http_exchange_ptr& exchange);
  void HandleOutcome(const http_exchange_ptr& exchange, const std::string& key);
  void HandleLoad(http_exchange& exchange);
  void StartWaiting();
  void StartRun(service_run run);
  void FinishRun(run_id id);
  void Answer(service_run run);
  void AnswerLate(service_run run);
  void AnswerWaitingOutcomes(const std::string& key);
  void Sample(time_point now);
  [[nodiscard]] plain_load_report Measure() const;

  event_loop& loop_;
  plain_service_options options_;
  clock_fn clock_;
  plain_service_stats stats_;
  run_ledger ledger_;
  run_id next_run_ = 1;
  std::deque<service_run> waiting_;
  std::unordered_map<run_id, service_run> running_;
  /// Runs that have ended and whose answer is still to come.
  std::unordered_map<run_id, service_run> late_;
  /// Askers for the outcome of a run that has not ended.
  std::map<std::string, std::vector<http_exchange_ptr>> outcome_askers_;
  int64_t samples_ = 0;
  standin_server server_;
  lagged_value<plain_load_report> load_;
  event_loop::handle_ptr sample_timer_;
};

std::string ToJson(const plain_service_stats& stats);
std::string ToJson(const plain_load_report& report);

}  // namespace skylarkcroft::standin

#endif  // SKYLARKCROFT_STANDINS_PLAIN_SERVICE_PLAIN_SERVICE_STANDIN_H_
