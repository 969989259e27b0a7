#ifndef SKYLARKCROFT_PLACEMENT_SKYLARKCROFT_UPSTREAM_HEALTH_H_
#define SKYLARKCROFT_PLACEMENT_SKYLARKCROFT_UPSTREAM_HEALTH_H_

#include "skylarkcroft/internal/skylarkcroft_time.h"
#include "skylarkcroft/placement/skylarkcroft_decaying_sum.h"

namespace skylarkcroft {

/// What the end of an attempt says about the health of its upstream.
enum class upstream_outcome {
  kSuccess,      ///< A complete response.
  kFailure,      ///< An error response, a broken one or one of another process.
  kUnreachable,  ///< The connection failed.
  kSilent,       ///< No byte for longer than a working upstream needs.
  kFull,         ///< It reported that it is full; it is healthy otherwise.
  kInconclusive,  ///< Says nothing, such as after a cancellation.
};

/// Exponentially decaying counts of outcomes at one upstream.
struct decayed_outcomes {
  double successes = 0;
  double failures = 0;

  bool operator==(const decayed_outcomes&) const = default;
};

/// Health estimate of one upstream from the outcomes of this node's attempts.
class upstream_health {
 public:
  upstream_health();

  void Record(upstream_outcome outcome, time_point now);
  [[nodiscard]] decayed_outcomes Outcomes(time_point now) const;
  /// True while the upstream is avoided after consecutive failures.
  [[nodiscard]] bool IsAvoided(time_point now) const {
    return now < avoided_until_;
  }

 private:
  decaying_sum successes_;
  decaying_sum failures_;
  int consecutive_failures_ = 0;
  time_point avoided_until_{};
};

/// Estimated share of failures, from 0 to 1. The estimate is low while there
/// are few outcomes.
double FailureShare(const decayed_outcomes& outcomes);

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_PLACEMENT_SKYLARKCROFT_UPSTREAM_HEALTH_H_
