#include "skylarkcroft/placement/skylarkcroft_speed_samples.h"

#include <algorithm>
#include <cmath>

namespace skylarkcroft {
namespace {

constexpr milliseconds kWindow{250};
// 10 s under constant load: transient slowdowns last about 0.6 s and take about
// a sixth of the time, so the median over the windows is not one of theirs.
constexpr size_t kMaxWindows = 40;
constexpr milliseconds kMaxWindowAge{30000};

}  // namespace

double BatchLoad(int running, int slots) {
  const double others = std::max(running - 1, 0);
  return std::log2(1 + others / std::max(slots - 1, 1));
}

void speed_samples::Add(const speed_sample& sample, time_point now) {
  if (windows_.empty() || now - windows_.back().started_at >= kWindow) {
    windows_.push_back({now, {}, 0});
    if (windows_.size() > kMaxWindows) {
      windows_.pop_front();
    }
  }
  window& current = windows_.back();
  current.sum.load += sample.load;
  current.sum.log_time += sample.log_time;
  ++current.count;
}

std::vector<speed_sample> speed_samples::Recent(time_point now) const {
  std::vector<speed_sample> recent;
  recent.reserve(windows_.size());
  for (const window& one : windows_) {
    if (now - one.started_at <= kMaxWindowAge) {
      recent.push_back(
          {one.sum.load / one.count, one.sum.log_time / one.count});
    }
  }
  return recent;
}

}  // namespace skylarkcroft
