#ifndef SKYLARKCROFT_NODE_SKYLARKCROFT_REQUEST_RUNNER_H_
#define SKYLARKCROFT_NODE_SKYLARKCROFT_REQUEST_RUNNER_H_

#include <cstdint>
#include <functional>
#include <string>

#include "skylarkcroft/attempt/skylarkcroft_accepted_request.h"
#include "skylarkcroft/internal/skylarkcroft_event_loop.h"
#include "skylarkcroft/internal/skylarkcroft_time.h"
#include "skylarkcroft/node/skylarkcroft_request_registry.h"
#include "skylarkcroft/node/skylarkcroft_settings.h"

namespace skylarkcroft {

class admission;
class caller_limiter;
class node_metrics;
class request_run;
class active_tables;
struct deferred_request;
struct deferred_run_result;
struct handover_record;
struct run_environment;
struct work_item;

/// What the runs of a node are started with; all outlive it.
struct request_runner_environment {
  event_loop& loop;
  const answer_settings& answers;
  active_tables& tables;
  admission& admit;
  request_registry& registry;
  run_environment& runs;
  node_metrics& metrics;
  caller_limiter& limits;
  clock_fn clock;
  wall_clock_fn wall_clock;
};

/// Starts accepted requests, passes them through their claim and admission, and
/// settles what they cost when they have ended.
class request_runner {
 public:
  explicit request_runner(request_runner_environment environment);
  ~request_runner();
  request_runner(const request_runner&) = delete;
  request_runner& operator=(const request_runner&) = delete;

  /// Starts a request that counts against its caller's limits. `on_entry` runs
  /// once, before anything can end the answer.
  void Start(accepted_request request, time_point now,
             const std::function<void(const request_entry&)>& on_entry);
  /// Goes on with a request that a leaving node handed over. False when the
  /// tables in force have no such caller, route or pool.
  bool Adopt(const handover_record& record);
  /// Ends all requests as failed, except deferred ones.
  void FailAll(refusal_reason reason, const std::string& detail);
  /// Runs a stored request; `done` gets how it ended.
  void RunDeferred(const deferred_request& stored,
                   std::function<void(const deferred_run_result&)> done);

 private:
  request_entry MakeEntry(accepted_request request, time_point now);
  void ClaimAndSubmit(request_run& run, const work_item& item,
                      bool needs_claim);
  void Submit(const work_item& item);
  void OnRunEnd(const std::string& id, int64_t actual_tokens);
  void DispatchNow();
  void Sweep();

  request_runner_environment environment_;
  event_loop::handle_ptr dispatch_timer_;
  event_loop::handle_ptr sweep_timer_;
};

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_NODE_SKYLARKCROFT_REQUEST_RUNNER_H_
