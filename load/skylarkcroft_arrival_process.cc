#include "load/skylarkcroft_arrival_process.h"

#include <algorithm>

namespace skylarkcroft::load {
namespace {

using seconds = std::chrono::duration<double>;

}  // namespace

arrival_process::arrival_process(const caller_group& group, duration run_length,
                                 uint64_t seed)
    : segments_(Segments(group, run_length)),
      random_(seed),
      caller_(1, group.callers) {}

std::vector<arrival_process::segment> arrival_process::Segments(
    const caller_group& group, duration run_length) {
  const double base_rate = group.rate_per_caller * group.callers;
  std::vector<segment> segments;
  duration covered{0};
  for (const rate_phase& phase : group.phases) {
    segments.push_back({covered, phase.from, base_rate});
    segments.push_back({phase.from, phase.to, base_rate * phase.rate_factor});
    covered = phase.to;
  }
  segments.push_back({covered, std::max(covered, run_length), base_rate});
  for (segment& each : segments) {
    each.from = std::min(each.from, run_length);
    each.to = std::min(each.to, run_length);
  }
  return segments;
}

std::optional<arrival> arrival_process::Next() {
  // The time to the next event of a unit-rate process, spent at each segment's
  // own rate.
  double owed = std::exponential_distribution<double>(1.0)(random_);
  for (; segment_ < segments_.size(); ++segment_) {
    const segment& current = segments_[segment_];
    at_ = std::max(at_, current.from);
    const double room = seconds(current.to - at_).count() * current.rate_per_s;
    if (owed >= room) {
      owed -= room;
      continue;
    }
    at_ += std::chrono::duration_cast<duration>(
        seconds(owed / current.rate_per_s));
    return arrival{at_, caller_(random_)};
  }
  return std::nullopt;
}

}  // namespace skylarkcroft::load
