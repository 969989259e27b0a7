#ifndef SKYLARKCROFT_PLACEMENT_SKYLARKCROFT_UPSTREAM_BELIEF_H_
#define SKYLARKCROFT_PLACEMENT_SKYLARKCROFT_UPSTREAM_BELIEF_H_

#include "skylarkcroft/internal/skylarkcroft_time.h"
#include "skylarkcroft/placement/skylarkcroft_decaying_sum.h"

namespace skylarkcroft {

/// How a request at an upstream ended, as evidence on the upstream.
enum class upstream_outcome {
  kGood,         ///< A whole answer.
  kBad,          ///< A failed, broken or foreign answer.
  kUnreachable,  ///< No connection.
  kSilent,       ///< No byte for longer than an upstream at work takes.
  kFull,         ///< It said that it is full; it is sound otherwise.
  kNeutral,      ///< Nothing can be concluded, as after a cancel.
};

/// Recent outcomes at one upstream, decayed.
struct outcome_sums {
  double good = 0;
  double bad = 0;

  bool operator==(const outcome_sums&) const = default;
};

/// What this node concludes from its own requests at one upstream.
class upstream_belief {
 public:
  upstream_belief();

  void Note(upstream_outcome outcome, time_point now);
  [[nodiscard]] outcome_sums Sums(time_point now) const;
  /// True while the upstream is left out after failures in a row.
  [[nodiscard]] bool IsAvoided(time_point now) const {
    return now < avoided_until_;
  }

 private:
  decaying_sum good_;
  decaying_sum bad_;
  int failures_in_row_ = 0;
  time_point avoided_until_{};
};

/// Share of failures that `sums` suggests, 0 to 1. Few outcomes count little.
double FailureShare(const outcome_sums& sums);

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_PLACEMENT_SKYLARKCROFT_UPSTREAM_BELIEF_H_
