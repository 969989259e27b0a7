#include "skylarkcroft/admission/skylarkcroft_concurrency_window.h"

#include <algorithm>
#include <cmath>

namespace skylarkcroft {
namespace {

// Age that a load report may have.
constexpr milliseconds kReportLag{750};
// Requests wanted at the upstreams for each slot; more than one, so that an
// uneven choice of upstream leaves no slot idle.
constexpr double kWantedPerSlot = 1.1;
// Excess over what is wanted that is cut at once.
constexpr double kTolerance = 1.1;
constexpr double kMaxCut = 0.7;
// Part of a shortage that is made up in one sample; the reports lag by several.
constexpr double kGain = 0.1;
constexpr double kMaxGrowth = 0.1;
// Growth in slots whatever the window, which brings unequal windows together.
constexpr double kEvenGrowth = 0.05;

double PartOf(const pool_sample& sample) {
  return static_cast<double>(sample.slots) /
         static_cast<double>(std::max<int64_t>(1, sample.live_nodes));
}

}  // namespace

void concurrency_window::FollowSlots(const pool_sample& sample) {
  if (sample.slots == slots_ && sample.live_nodes == live_nodes_) {
    return;
  }
  const double part_before =
      static_cast<double>(slots_) /
      static_cast<double>(std::max<int64_t>(1, live_nodes_));
  limit_ =
      part_before > 0 ? limit_ * PartOf(sample) / part_before : PartOf(sample);
  slots_ = sample.slots;
  live_nodes_ = sample.live_nodes;
}

void concurrency_window::Adapt(const pool_sample& sample, time_point now) {
  const double wanted = kWantedPerSlot * static_cast<double>(slots_);
  const auto present =
      static_cast<double>(sample.reported_running + sample.reported_waiting);
  const double ratio = wanted / std::max(1.0, present);
  if (ratio * kTolerance < 1) {
    limit_ *= std::max(1 - kMaxCut, ratio);
    settled_at_ = now + kReportLag;
    return;
  }
  if (ratio < 1) {
    limit_ *= 1 - kGain * (1 - ratio);
    return;
  }
  if (sample.queued > 0) {
    limit_ += kEvenGrowth + limit_ * std::min(kMaxGrowth, kGain * (ratio - 1));
  }
}

void concurrency_window::Update(const pool_sample& sample, time_point now) {
  FollowSlots(sample);
  if (static_cast<double>(sample.running) >= limit_ + 1) {
    // The last cut is still draining, and the reports show what it left.
    settled_at_ = now + kReportLag;
    return;
  }
  if (!settled_at_ || now >= *settled_at_) {
    Adapt(sample, now);
  }
  const auto most = static_cast<double>(slots_);
  limit_ = std::clamp(limit_, std::min(1.0, most), most);
}

int64_t concurrency_window::limit() const {
  constexpr double kSlack = 1e-9;
  return static_cast<int64_t>(std::floor(limit_ + kSlack));
}

}  // namespace skylarkcroft
