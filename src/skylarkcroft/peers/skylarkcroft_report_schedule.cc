#include "skylarkcroft/peers/skylarkcroft_report_schedule.h"

#include <algorithm>

namespace skylarkcroft {

std::vector<endpoint> report_schedule::Due(const std::vector<endpoint>& targets,
                                           milliseconds period,
                                           time_point now) {
  const auto count = static_cast<double>(targets.size());
  const duration elapsed = now - last_.value_or(now - period);
  last_ = now;
  owed_ += count * std::chrono::duration<double>(elapsed).count() /
           std::chrono::duration<double>(period).count();
  // Half a target early rather than late, since timers fire late.
  constexpr double kEarly = 0.5;
  owed_ = std::min(owed_, count);
  std::vector<endpoint> due;
  for (; owed_ >= kEarly && due.size() < targets.size(); owed_ -= 1) {
    due.push_back(targets[next_ % targets.size()]);
    next_ = (next_ + 1) % targets.size();
  }
  return due;
}

}  // namespace skylarkcroft
