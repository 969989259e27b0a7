#ifndef SKYLARKCROFT_TESTS_HISTORY_SKYLARKCROFT_HISTORY_CHECKS_H_
#define SKYLARKCROFT_TESTS_HISTORY_SKYLARKCROFT_HISTORY_CHECKS_H_

#include <cstdint>
#include <string>
#include <vector>

#include "tests/history/skylarkcroft_history.h"

namespace skylarkcroft::history {

/// One thing in a history that must not be.
struct violation {
  std::string check;
  /// Key, node or upstream that it concerns.
  std::string subject;
  std::string detail;

  bool operator==(const violation&) const = default;
};

/// Bounds that the checks allow.
struct check_bounds {
  /// From an edit's acceptance until every serving node serves under it.
  int64_t edit_in_force_ms = 4000;
  /// From an upstream's leaving until it receives nothing new.
  int64_t leave_ms = 3000;
};

using violations = std::vector<violation>;

/// No key whose upstream counts runs ran twice, over all upstreams.
violations CheckAtMostOnce(const run_history& history);
/// A key of which every request was told `not_run` has no run.
violations CheckNotRun(const run_history& history);
/// Every answer is exactly the text expected for its own request.
violations CheckOwnWholeAnswer(const run_history& history);
/// Every request that was sent has an outcome, unless its node was killed or
/// paused meanwhile.
violations CheckOutcome(const run_history& history);
/// The revision that a node tells never falls while its process lives, and no
/// two accepted edits have the same revision.
violations CheckRevisions(const run_history& history);
/// After the bound every serving node tells at least the accepted revision.
violations CheckInForce(const run_history& history, const check_bounds& bounds);
/// After the bound a leaving upstream receives nothing.
violations CheckLeaving(const run_history& history, const check_bounds& bounds);
/// A graceful end of a node leaves no request without an outcome, even one that
/// was paused before, and the process ends by itself.
violations CheckGracefulEnd(const run_history& history);
/// At each upstream the fence of orders acted on never falls, and one fence is
/// of one issuer.
violations CheckFence(const run_history& history);

/// All of the above.
violations CheckAll(const run_history& history,
                    const check_bounds& bounds = {});

}  // namespace skylarkcroft::history

#endif  // SKYLARKCROFT_TESTS_HISTORY_SKYLARKCROFT_HISTORY_CHECKS_H_
