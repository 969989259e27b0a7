#ifndef SKYLARKCROFT_LOAD_SKYLARKCROFT_LOAD_GENERATOR_H_
#define SKYLARKCROFT_LOAD_SKYLARKCROFT_LOAD_GENERATOR_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

#include "load/skylarkcroft_answer_check.h"
#include "load/skylarkcroft_experiment_definition.h"
#include "load/skylarkcroft_latency_histogram.h"
#include "load/skylarkcroft_load_result.h"
#include "skylarkcroft/http/skylarkcroft_http_client.h"
#include "skylarkcroft/internal/skylarkcroft_event_loop.h"

namespace skylarkcroft::load {

/// How far a run is.
struct load_progress {
  milliseconds elapsed{0};
  int64_t sent = 0;
  int64_t ended = 0;
  int64_t in_flight = 0;

  bool operator==(const load_progress&) const = default;
};

/// Behaviour of a run that its definition does not state.
struct load_hooks {
  clock_fn clock;
  token_text_fn token_text;
  /// Called once a second when set.
  std::function<void(const load_progress&)> on_progress;
};

/// Sends a definition's requests at their arrival times, whatever the answers
/// do, and stops by itself: after the duration and the drain time at the
/// latest.
class load_generator {
 public:
  /// `run_id` starts the idempotency keys, so that two runs against one fleet
  /// do not replay each other's outcomes. Throws config_error when the
  /// definition names no node.
  load_generator(event_loop& loop, experiment_definition definition,
                 std::string run_id, load_hooks hooks);
  ~load_generator();
  load_generator(const load_generator&) = delete;
  load_generator& operator=(const load_generator&) = delete;

  /// Starts the run; `on_finished` is called when it is over.
  void Start(std::function<void()> on_finished);
  /// What was seen up to now.
  [[nodiscard]] load_result Result() const;

 private:
  struct group_state;
  struct open_request;

  void SendDue();
  void SendDue(group_state& group, time_point now);
  void SendOne(group_state& group, int caller, time_point intended,
               time_point now);
  void ScheduleNext(time_point now);
  void Finish();
  endpoint PickNode(const endpoint& avoid);
  void ReportProgress();

  event_loop& loop_;
  experiment_definition definition_;
  std::string run_id_;
  load_hooks hooks_;
  http_client client_;
  std::mt19937_64 node_random_;
  std::vector<std::unique_ptr<group_state>> groups_;
  std::unordered_map<int64_t, open_request> open_;
  latency_histogram send_delay_;
  int64_t sent_ = 0;
  time_point started_;
  time_point ended_;
  bool arrivals_over_ = false;
  bool finished_ = false;
  event_loop::handle_ptr arrival_timer_;
  event_loop::handle_ptr end_timer_;
  event_loop::handle_ptr progress_timer_;
  std::function<void()> on_finished_;
};

}  // namespace skylarkcroft::load

#endif  // SKYLARKCROFT_LOAD_SKYLARKCROFT_LOAD_GENERATOR_H_
