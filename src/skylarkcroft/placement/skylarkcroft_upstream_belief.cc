#include "skylarkcroft/placement/skylarkcroft_upstream_belief.h"

#include <algorithm>

namespace skylarkcroft {
namespace {

// Long enough to see several outcomes of a quiet upstream, short enough that a
// mended one is used again within seconds.
constexpr milliseconds kOutcomeHalfLife{2000};
// Outcomes that count as good without having been seen.
constexpr double kPriorGood = 1;
constexpr int kFailuresBeforeAvoiding = 3;
constexpr milliseconds kFirstAvoidance{400};
constexpr milliseconds kLongestAvoidance{3200};
constexpr int kMostDoublings = 3;

// An upstream without connections or bytes is avoided from the first failure.
int FailuresBeforeAvoiding(upstream_outcome outcome) {
  const bool gone = outcome == upstream_outcome::kUnreachable ||
                    outcome == upstream_outcome::kSilent;
  return gone ? 1 : kFailuresBeforeAvoiding;
}

}  // namespace

upstream_belief::upstream_belief()
    : good_(kOutcomeHalfLife), bad_(kOutcomeHalfLife) {}

void upstream_belief::Note(upstream_outcome outcome, time_point now) {
  switch (outcome) {
    case upstream_outcome::kGood:
      good_.Add(1, now);
      failures_in_row_ = 0;
      avoided_until_ = {};
      return;
    case upstream_outcome::kFull:
    case upstream_outcome::kNeutral:
      return;
    case upstream_outcome::kBad:
    case upstream_outcome::kUnreachable:
    case upstream_outcome::kSilent:
      break;
  }
  bad_.Add(1, now);
  ++failures_in_row_;
  const int excess = failures_in_row_ - FailuresBeforeAvoiding(outcome);
  if (excess < 0) {
    return;
  }
  const milliseconds span =
      std::min(kLongestAvoidance,
               kFirstAvoidance * (1 << std::min(excess, kMostDoublings)));
  avoided_until_ = std::max(avoided_until_, now + span);
}

outcome_sums upstream_belief::Sums(time_point now) const {
  return {good_.Value(now), bad_.Value(now)};
}

double FailureShare(const outcome_sums& sums) {
  return sums.bad / (sums.good + sums.bad + kPriorGood);
}

}  // namespace skylarkcroft
