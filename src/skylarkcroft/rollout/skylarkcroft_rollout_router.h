#ifndef SKYLARKCROFT_ROLLOUT_SKYLARKCROFT_ROLLOUT_ROUTER_H_
#define SKYLARKCROFT_ROLLOUT_SKYLARKCROFT_ROLLOUT_ROUTER_H_

#include <cstddef>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "skylarkcroft/internal/skylarkcroft_time.h"
#include "skylarkcroft/placement/skylarkcroft_upstream_entry.h"
#include "skylarkcroft/rollout/skylarkcroft_rollout_plan.h"

namespace skylarkcroft {

/// Whether an upstream may be chosen for a request.
using upstream_filter_fn = std::function<bool(const upstream_entry&)>;

/// The properties of a request that decide which version it goes to.
struct rollout_request {
  std::string service;
  std::string route;
  bool is_retry = false;
  double draw = 0;  ///< Random number, uniform in [0, 1).
};

/// Ready upstreams of a service, by version.
struct version_counts {
  size_t old_upstreams = 0;
  size_t new_upstreams = 0;

  bool operator==(const version_counts&) const = default;
};

/// Decides at each node which version of a service a request may go to, by the
/// lease holder's plan. Does no I/O.
class rollout_router {
 public:
  /// A plan that has not been heard for `plan_lifetime` has expired.
  explicit rollout_router(milliseconds plan_lifetime)
      : plan_lifetime_(plan_lifetime) {}

  void SetPlanLifetime(milliseconds lifetime) { plan_lifetime_ = lifetime; }
  /// Takes in an order; one that is not later than the known one is ignored.
  /// Returns whether it is new.
  bool OnOrder(const rollout_order& order);
  /// Takes in a plan from the holder. Returns whether it differs from the one
  /// followed so far.
  bool OnPlan(const rollout_plan& plan, time_point now);
  /// Takes in the upstreams of a service; to be called regularly.
  void UpdateUpstreams(const std::string& service,
                       const std::vector<upstream_entry>& upstreams);

  /// The filters to choose an upstream with, in order: each applies if those
  /// before leave none. They are valid until the next change. Empty if all
  /// upstreams may be chosen.
  [[nodiscard]] std::vector<upstream_filter_fn> Filters(
      const rollout_request& request, time_point now) const;
  /// Whether `version` is the target of an order of `service`.
  [[nodiscard]] bool IsTarget(const std::string& service,
                              const std::string& version) const;
  /// The order of `service`; null if none is known.
  [[nodiscard]] const rollout_order* Order(const std::string& service) const;
  /// The plan of the present order, also when it has expired; null before the
  /// first one.
  [[nodiscard]] const rollout_plan* Plan(const std::string& service) const;
  /// Whether an order of `service` is not decided, as far as this node knows.
  [[nodiscard]] bool IsRunning(const std::string& service) const;
  /// Whether an upstream of `version` is no capacity to plan with: that of a
  /// rollout that is running or was rolled back.
  [[nodiscard]] bool IsOutsideCapacity(const std::string& service,
                                       const std::string& version) const;
  [[nodiscard]] version_counts Counts(const std::string& service) const;
  /// Services with an order.
  [[nodiscard]] std::vector<std::string> Services() const;

 private:
  struct service_state {
    std::optional<rollout_order> order;
    std::optional<rollout_plan> plan;
    time_point heard_at{};
    /// Version that serves the requests unless a plan says otherwise; empty
    /// before the first upstreams are known.
    std::optional<std::string> settled;
    /// Versions that were rolled back or replaced before they were completed.
    std::set<std::string> rejected;
    /// Upstreams of the new version, in an order on which all nodes agree.
    std::vector<std::string> new_upstreams;
    size_t settled_upstreams = 0;
  };

  [[nodiscard]] const service_state* Find(const std::string& service) const;
  /// Whether requests may go to the target although the plan does not say so,
  /// since no upstream of the settled version is left.
  [[nodiscard]] static bool IsOnlyTargetLeft(const service_state& state);
  /// The share of the requests of `route` that goes to the target.
  [[nodiscard]] double ShareOf(const service_state& state,
                               const rollout_request& request,
                               time_point now) const;

  milliseconds plan_lifetime_;
  std::map<std::string, service_state> services_;
};

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_ROLLOUT_SKYLARKCROFT_ROLLOUT_ROUTER_H_
