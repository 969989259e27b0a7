#ifndef SKYLARKCROFT_TESTS_HISTORY_SKYLARKCROFT_SOAK_RUN_H_
#define SKYLARKCROFT_TESTS_HISTORY_SKYLARKCROFT_SOAK_RUN_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "tests/history/skylarkcroft_history.h"
#include "tests/history/skylarkcroft_soak_caller.h"
#include "tests/history/skylarkcroft_soak_faults.h"
#include "tests/history/skylarkcroft_soak_observer.h"
#include "tests/history/skylarkcroft_soak_operator.h"
#include "tests/history/skylarkcroft_soak_targets.h"

namespace skylarkcroft::history {

/// How one run goes.
struct soak_options {
  uint64_t seed = 1;
  milliseconds duration{10000};
  size_t callers = 12;
  size_t operators = 2;
  bool faults = true;
  /// Callers that join for a while from a third of the run on; 0 for none.
  size_t flood_callers = 0;

  bool operator==(const soak_options&) const = default;
};

/// One run against live targets: puts the tables, lets callers, operators and
/// faults work for the duration, waits for what is under way and records all.
class soak_run {
 public:
  soak_run(event_loop& loop, http_client& client, const soak_targets& targets,
           const soak_options& options, soak_faults::note_fn note);

  /// Returns the history. Throws skylarkcroft::network_error when the tables
  /// could not be put or the callers did not come to an end in time.
  run_history Run();

 private:
  void PutTables();
  void Put(const std::string& table, const std::string& document);
  bool Until(const std::function<bool()>& condition, milliseconds limit);
  [[nodiscard]] bool AllServing() const;
  void StartFlood();
  [[nodiscard]] bool CallersIdle() const;

  event_loop& loop_;
  http_client& client_;
  soak_targets targets_;
  soak_options options_;
  run_history history_;
  recent_keys keys_;
  soak_balancer balancer_;
  soak_observer observer_;
  soak_faults faults_;
  std::vector<std::unique_ptr<soak_caller>> callers_;
  std::vector<std::unique_ptr<soak_caller>> flood_;
  std::vector<std::unique_ptr<soak_operator>> operators_;
};

}  // namespace skylarkcroft::history

#endif  // SKYLARKCROFT_TESTS_HISTORY_SKYLARKCROFT_SOAK_RUN_H_
