#include "skylarkcroft/placement/skylarkcroft_upstream_health.h"

#include <algorithm>

namespace skylarkcroft {
namespace {

// Long enough to cover several outcomes of an upstream with few requests, short
// enough that a recovered upstream is used again within seconds.
constexpr milliseconds kOutcomeHalfLife{2000};
// Successes added to the recorded ones, so that one failure among few outcomes
// does not count as a high failure share.
constexpr double kPriorSuccesses = 1;
constexpr int kFailuresBeforeAvoiding = 3;
constexpr milliseconds kFirstAvoidance{400};
constexpr milliseconds kMaxAvoidance{3200};
constexpr int kMaxDoublings = 3;

// A failed connection or a silent upstream counts at once; other failures must
// repeat.
int FailuresBeforeAvoiding(upstream_outcome outcome) {
  const bool unresponsive = outcome == upstream_outcome::kUnreachable ||
                            outcome == upstream_outcome::kSilent;
  return unresponsive ? 1 : kFailuresBeforeAvoiding;
}

}  // namespace

upstream_health::upstream_health()
    : successes_(kOutcomeHalfLife), failures_(kOutcomeHalfLife) {}

void upstream_health::Record(upstream_outcome outcome, time_point now) {
  switch (outcome) {
    case upstream_outcome::kSuccess:
      successes_.Add(1, now);
      consecutive_failures_ = 0;
      avoided_until_ = {};
      return;
    case upstream_outcome::kFull:
    case upstream_outcome::kInconclusive:
      return;
    case upstream_outcome::kFailure:
    case upstream_outcome::kUnreachable:
    case upstream_outcome::kSilent:
      break;
  }
  failures_.Add(1, now);
  ++consecutive_failures_;
  const int excess = consecutive_failures_ - FailuresBeforeAvoiding(outcome);
  if (excess < 0) {
    return;
  }
  const milliseconds avoidance = std::min(
      kMaxAvoidance, kFirstAvoidance * (1 << std::min(excess, kMaxDoublings)));
  avoided_until_ = std::max(avoided_until_, now + avoidance);
}

decayed_outcomes upstream_health::Outcomes(time_point now) const {
  return {successes_.Value(now), failures_.Value(now)};
}

double FailureShare(const decayed_outcomes& outcomes) {
  return outcomes.failures /
         (outcomes.successes + outcomes.failures + kPriorSuccesses);
}

}  // namespace skylarkcroft
