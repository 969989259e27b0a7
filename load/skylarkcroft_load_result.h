#ifndef SKYLARKCROFT_LOAD_SKYLARKCROFT_LOAD_RESULT_H_
#define SKYLARKCROFT_LOAD_SKYLARKCROFT_LOAD_RESULT_H_

#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

#include "load/skylarkcroft_answer_check.h"
#include "load/skylarkcroft_latency_histogram.h"
#include "load/skylarkcroft_upstream_stats.h"

namespace skylarkcroft::load {

/// How often something named happened.
struct reason_count {
  std::string reason;
  int64_t count = 0;

  bool operator==(const reason_count&) const = default;
};

/// What one caller got.
struct caller_result {
  int caller = 0;
  int64_t sent = 0;
  int64_t answered = 0;
  int64_t tokens = 0;

  bool operator==(const caller_result&) const = default;
};

/// What one caller group got. Every arrival is in exactly one of `not_sent`,
/// `answered`, `refused`, `lost` and `open`; `sent` is the sum of the last
/// four.
struct group_result {
  std::string name;
  std::string rank;
  /// Arrivals that a bound of the load tool itself kept back.
  int64_t not_sent = 0;
  int64_t sent = 0;
  /// Answers that ended; `whole` of them are the caller's own and complete.
  int64_t answered = 0;
  int64_t whole = 0;
  int64_t wrong = 0;
  int64_t refused = 0;
  /// Requests that ended without an outcome: broken off or silent for too long.
  int64_t lost = 0;
  /// Requests still waiting when the run ended.
  int64_t open = 0;
  std::vector<reason_count> refused_by_reason;
  /// Refusals by the run state that the caller was told.
  std::vector<reason_count> refused_by_run_state;
  std::vector<reason_count> lost_by_cause;
  answer_faults faults;
  latency_summary first_token;
  latency_summary between_tokens;
  latency_summary total;
  /// Whole answers that met all latency targets of the group.
  int64_t targets_met = 0;
  int64_t tokens = 0;
  int64_t resumes = 0;
  std::vector<caller_result> callers;

  /// Part of the requests sent that met all targets.
  [[nodiscard]] double TargetShare() const;
  /// Jain's index over the callers' tokens (answers, for a plain service): 1
  /// when all got the same.
  [[nodiscard]] double Fairness() const;

  bool operator==(const group_result&) const = default;
};

/// Result of one run.
struct load_result {
  std::string name;
  /// The variant that was measured, for comparisons.
  std::string label;
  uint64_t seed = 0;
  double duration_s = 0;
  /// How late the load tool itself was against the intended arrival times.
  latency_summary send_delay;
  std::vector<group_result> groups;
  /// Without upstreams when none were named.
  upstream_summary upstreams;

  bool operator==(const load_result&) const = default;
};

nlohmann::json ToJson(const load_result& result);
/// Throws config_error with the JSON path.
load_result ParseResult(const nlohmann::json& document);

/// Readable table, one line a group.
std::string ToText(const load_result& result);

}  // namespace skylarkcroft::load

#endif  // SKYLARKCROFT_LOAD_SKYLARKCROFT_LOAD_RESULT_H_
