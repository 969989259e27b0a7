#include "skylarkcroft/control/skylarkcroft_weight_fetch_pacer.h"

#include <algorithm>

namespace skylarkcroft {

weight_fetch_pacer::weight_fetch_pacer(const weight_fetch_intervals& intervals)
    : intervals_(intervals), interval_(intervals.min_interval) {}

void weight_fetch_pacer::OnStarted(time_point now) {
  next_start_ = now + interval_;
}

void weight_fetch_pacer::OnFetched() {
  constexpr int kDecayDivisor = 10;
  interval_ =
      std::max(intervals_.min_interval, interval_ - interval_ / kDecayDivisor);
}

void weight_fetch_pacer::OnThrottled(milliseconds retry_after, time_point now) {
  interval_ = std::min(intervals_.max_interval, 2 * interval_);
  next_start_ = now + std::max(retry_after, interval_);
}

}  // namespace skylarkcroft
