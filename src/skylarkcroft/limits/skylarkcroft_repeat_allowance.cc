#include "skylarkcroft/limits/skylarkcroft_repeat_allowance.h"

#include <algorithm>

namespace skylarkcroft {

repeat_allowance::repeat_allowance(const repeat_terms& parameters)
    : parameters_(parameters) {}

void repeat_allowance::DropOldTimes(recent_activity& activity,
                                    time_point now) const {
  for (std::deque<time_point>* times :
       {&activity.requests, &activity.retries}) {
    while (!times->empty() && now - times->front() > parameters_.window) {
      times->pop_front();
    }
  }
}

void repeat_allowance::NoteRequest(const std::string& service, time_point now) {
  recent_activity& activity = services_[service];
  DropOldTimes(activity, now);
  activity.requests.push_back(now);
}

bool repeat_allowance::TryRepeat(const std::string& service, size_t nodes,
                                 time_point now) {
  recent_activity& activity = services_[service];
  DropOldTimes(activity, now);
  const double reserve_part =
      parameters_.reserve / static_cast<double>(std::max<size_t>(nodes, 1));
  const double budget =
      parameters_.used_fraction *
      (parameters_.share * static_cast<double>(activity.requests.size()) +
       reserve_part);
  if (static_cast<double>(activity.retries.size()) + 1 > budget) {
    return false;
  }
  activity.retries.push_back(now);
  return true;
}

}  // namespace skylarkcroft
