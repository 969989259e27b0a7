#include "skylarkcroft/peers/skylarkcroft_report_schedule.h"

#include <algorithm>

namespace skylarkcroft {

std::vector<endpoint> report_schedule::NextTargets(
    const std::vector<endpoint>& targets, milliseconds period, time_point now) {
  const auto count = static_cast<double>(targets.size());
  const duration elapsed = now - last_.value_or(now - period);
  last_ = now;
  due_reports_ += count * std::chrono::duration<double>(elapsed).count() /
                  std::chrono::duration<double>(period).count();
  // Reports are sent up to half a report early, since timers fire late.
  constexpr double kDueThreshold = 0.5;
  due_reports_ = std::min(due_reports_, count);
  std::vector<endpoint> due;
  for (; due_reports_ >= kDueThreshold && due.size() < targets.size();
       due_reports_ -= 1) {
    due.push_back(targets[next_ % targets.size()]);
    next_ = (next_ + 1) % targets.size();
  }
  return due;
}

}  // namespace skylarkcroft
