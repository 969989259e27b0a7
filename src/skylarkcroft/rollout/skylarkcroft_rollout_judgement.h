#ifndef SKYLARKCROFT_ROLLOUT_SKYLARKCROFT_ROLLOUT_JUDGEMENT_H_
#define SKYLARKCROFT_ROLLOUT_SKYLARKCROFT_ROLLOUT_JUDGEMENT_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

#include "skylarkcroft/rollout/skylarkcroft_rollout_outcomes.h"

namespace skylarkcroft {

/// Tunable parameters of the comparison of two versions.
struct rollout_judgement_parameters {
  /// Logarithm of the odds against as many bad answers by chance. The tests are
  /// repeated several times a second and for each route, so the usual 3 to 5
  /// would reject good versions.
  double min_evidence = 11;
  /// Standard deviations by which the new version has to be worse, counting the
  /// uncertainty of the old version's share.
  double margin = 3.5;
  /// Failed answers below which a version is not judged.
  int64_t min_failed = 4;
  /// The same for answers cut off with their connection: more than an engine
  /// runs at a time, since all of them are cut off when it crashes, and below
  /// the 50 bad answers from which the time to roll back counts.
  int64_t min_lost = 36;
  int64_t min_slow_answers = 5;
  /// Differences of the shares of failures below this are accepted.
  double min_failure_difference = 0.02;
  double min_slow_difference = 0.1;
  /// The same for an unpaired comparison, where a change of the load may
  /// explain part of it.
  double min_slow_difference_unpaired = 0.15;
  /// Buckets (quarters of an octave) above the old version's median from which
  /// an answer is slow: at least 2.4 times as long, and 2.8 times in an
  /// unpaired comparison.
  size_t slow_buckets = 6;
  size_t slow_buckets_unpaired = 7;
  /// Answers faster than this are never slow: at a few milliseconds the times
  /// depend more on the nodes than on the version.
  milliseconds min_slow_duration{32};
  /// Answers of the old version that a comparison needs at least.
  int64_t min_old_answers = 30;

  bool operator==(const rollout_judgement_parameters&) const = default;
};

/// Why a version is bad.
struct rollout_fault {
  std::string what;   ///< `failures`, `lost answers` or `slowness`.
  std::string route;  ///< Empty when found over all routes.
  int64_t bad = 0;
  int64_t answers = 0;
  double expected_share = 0;  ///< By the old version.

  bool operator==(const rollout_fault&) const = default;
};

/// Judges the new version by its outcomes in a time span. In a paired
/// comparison the old version's outcomes in the same span are used, if it has
/// enough of them on a route, and otherwise those of `reference`, from a time
/// when it carried its usual load. Returns nothing unless the version is bad.
std::optional<rollout_fault> FindRolloutFault(
    const rollout_totals& span, const rollout_totals& reference, bool paired,
    const rollout_judgement_parameters& parameters);

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_ROLLOUT_SKYLARKCROFT_ROLLOUT_JUDGEMENT_H_
