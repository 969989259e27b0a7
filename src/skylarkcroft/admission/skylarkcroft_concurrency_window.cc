#include "skylarkcroft/admission/skylarkcroft_concurrency_window.h"

#include <algorithm>
#include <cmath>

namespace skylarkcroft {
namespace {

// Highest age of a load report; the reports show a change of the limit after
// this time at the latest.
constexpr milliseconds kMaxReportAge{750};
// Target for the requests at the upstreams per slot; above one, so that no slot
// is idle when the requests are spread unevenly over the upstreams.
constexpr double kTargetRequestsPerSlot = 1.1;
// Factor above the target; a larger excess is cut in one step.
constexpr double kOverloadTolerance = 1.1;
constexpr double kMaxDecrease = 0.7;
// Fraction of the remaining deviation that is corrected per sample; small,
// because the reports lag by several samples.
constexpr double kCorrectionGain = 0.1;
constexpr double kMaxGrowth = 0.1;
// Growth in slots, independent of the size of the window, which makes unequal
// windows converge.
constexpr double kAdditiveGrowth = 0.05;

double FairShare(const pool_sample& sample) {
  return static_cast<double>(sample.slots) /
         static_cast<double>(std::max<int64_t>(1, sample.live_nodes));
}

}  // namespace

void concurrency_window::RescaleToSlots(const pool_sample& sample) {
  if (sample.slots == slots_ && sample.live_nodes == live_nodes_) {
    return;
  }
  const double previous_share =
      static_cast<double>(slots_) /
      static_cast<double>(std::max<int64_t>(1, live_nodes_));
  limit_ = previous_share > 0 ? limit_ * FairShare(sample) / previous_share
                              : FairShare(sample);
  slots_ = sample.slots;
  live_nodes_ = sample.live_nodes;
}

void concurrency_window::AdaptToLoad(const pool_sample& sample,
                                     time_point now) {
  const double target = kTargetRequestsPerSlot * static_cast<double>(slots_);
  const auto reported =
      static_cast<double>(sample.reported_running + sample.reported_waiting);
  const double ratio = target / std::max(1.0, reported);
  if (ratio * kOverloadTolerance < 1) {
    limit_ *= std::max(1 - kMaxDecrease, ratio);
    reports_current_at_ = now + kMaxReportAge;
    return;
  }
  if (ratio < 1) {
    limit_ *= 1 - kCorrectionGain * (1 - ratio);
    return;
  }
  if (sample.queued > 0) {
    limit_ += kAdditiveGrowth +
              limit_ * std::min(kMaxGrowth, kCorrectionGain * (ratio - 1));
  }
}

void concurrency_window::Update(const pool_sample& sample, time_point now) {
  RescaleToSlots(sample);
  if (static_cast<double>(sample.running) >= limit_ + 1) {
    // Requests from before the last reduction are still finishing, and the load
    // reports show its effect only afterwards.
    reports_current_at_ = now + kMaxReportAge;
    return;
  }
  if (!reports_current_at_ || now >= *reports_current_at_) {
    AdaptToLoad(sample, now);
  }
  const auto max_limit = static_cast<double>(slots_);
  limit_ = std::clamp(limit_, std::min(1.0, max_limit), max_limit);
}

int64_t concurrency_window::limit() const {
  constexpr double kEpsilon = 1e-9;
  return static_cast<int64_t>(std::floor(limit_ + kEpsilon));
}

}  // namespace skylarkcroft
