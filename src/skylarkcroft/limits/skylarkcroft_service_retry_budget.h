#ifndef SKYLARKCROFT_LIMITS_SKYLARKCROFT_SERVICE_RETRY_BUDGET_H_
#define SKYLARKCROFT_LIMITS_SKYLARKCROFT_SERVICE_RETRY_BUDGET_H_

#include <cstddef>
#include <deque>
#include <string>
#include <unordered_map>

#include "skylarkcroft/internal/skylarkcroft_time.h"

namespace skylarkcroft {

/// Bound on the retries of one service over all nodes.
struct service_retry_budget_parameters {
  double share = 0.2;  ///< Retries allowed per request in the window.
  milliseconds window{10000};
  double reserve = 54;  ///< Further retries per window, all nodes.
  /// Fraction of the bound that is used. The rest allows for nodes whose
  /// counts differ.
  double used_fraction = 0.8;

  bool operator==(const service_retry_budget_parameters&) const = default;
};

/// One node's part of the retry budget of every service: retries in proportion
/// to the node's own requests, and an even part of the reserve.
class service_retry_budget {
 public:
  explicit service_retry_budget(
      const service_retry_budget_parameters& parameters);

  void SetParameters(const service_retry_budget_parameters& parameters) {
    parameters_ = parameters;
  }
  /// Counts a request, not its retries.
  void RecordRequest(const std::string& service, time_point now);
  /// Whether TryRetry() would return true. Counts nothing.
  [[nodiscard]] bool HasRetryLeft(const std::string& service, size_t nodes,
                                  time_point now);
  /// Counts one retry; returns false when this node's part of the budget is
  /// used up. `nodes` is the number of nodes, including this one.
  bool TryRetry(const std::string& service, size_t nodes, time_point now);

 private:
  struct recent_activity {
    std::deque<time_point> requests;
    std::deque<time_point> retries;
  };

  /// Drops the times that are older than the window.
  void DropOldTimes(recent_activity& activity, time_point now) const;

  service_retry_budget_parameters parameters_;
  std::unordered_map<std::string, recent_activity> services_;
};

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_LIMITS_SKYLARKCROFT_SERVICE_RETRY_BUDGET_H_
