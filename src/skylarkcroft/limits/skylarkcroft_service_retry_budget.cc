#include "skylarkcroft/limits/skylarkcroft_service_retry_budget.h"

#include <algorithm>

namespace skylarkcroft {

service_retry_budget::service_retry_budget(
    const service_retry_budget_parameters& parameters)
    : parameters_(parameters) {}

void service_retry_budget::DropOldTimes(recent_activity& activity,
                                        time_point now) const {
  for (std::deque<time_point>* times :
       {&activity.requests, &activity.retries}) {
    while (!times->empty() && now - times->front() > parameters_.window) {
      times->pop_front();
    }
  }
}

void service_retry_budget::RecordRequest(const std::string& service,
                                         time_point now) {
  recent_activity& activity = services_[service];
  DropOldTimes(activity, now);
  activity.requests.push_back(now);
}

bool service_retry_budget::HasRetryLeft(const std::string& service,
                                        size_t nodes, time_point now) {
  recent_activity& activity = services_[service];
  DropOldTimes(activity, now);
  const double reserve_part =
      parameters_.reserve / static_cast<double>(std::max<size_t>(nodes, 1));
  const double budget =
      parameters_.used_fraction *
      (parameters_.share * static_cast<double>(activity.requests.size()) +
       reserve_part);
  return static_cast<double>(activity.retries.size()) + 1 <= budget;
}

bool service_retry_budget::TryRetry(const std::string& service, size_t nodes,
                                    time_point now) {
  if (!HasRetryLeft(service, nodes, now)) {
    return false;
  }
  services_[service].retries.push_back(now);
  return true;
}

}  // namespace skylarkcroft
