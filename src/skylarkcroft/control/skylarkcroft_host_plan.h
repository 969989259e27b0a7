#ifndef SKYLARKCROFT_CONTROL_SKYLARKCROFT_HOST_PLAN_H_
#define SKYLARKCROFT_CONTROL_SKYLARKCROFT_HOST_PLAN_H_

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "skylarkcroft/control/skylarkcroft_host_offer.h"
#include "skylarkcroft/internal/skylarkcroft_time.h"
#include "skylarkcroft/tables/skylarkcroft_pools_table.h"
#include "skylarkcroft/tables/skylarkcroft_rank.h"

namespace skylarkcroft {

/// Requests that run concurrently, by rank: arrival rate times duration of a
/// request.
struct host_demand {
  std::array<double, kRankCount> concurrent{};

  bool operator==(const host_demand&) const = default;
};

/// Constants of host planning.
struct host_plan_parameters {
  double slots_per_host = 16;
  /// Largest share of the slots that may be in use without missing the latency
  /// target.
  double usable_share = 0.8;
  /// Cost of one reclaim, in hours of the host's price: the replacement is paid
  /// for while it starts and loads weights, and lost work is recomputed.
  double reclaim_cost_hours = 0.5;
  /// Share by which the price of an existing host is reduced in comparisons, so
  /// that small price differences do not replace running hosts.
  double keep_discount = 0.2;
  /// Demand must stay lower for this long before hosts are released.
  std::chrono::minutes release_after{10};

  bool operator==(const host_plan_parameters&) const = default;
};

using offer_counts = std::map<host_offer, int64_t>;

/// Number of hosts needed to serve `demand` within the latency target, clamped
/// to the policy's minimum and maximum. UrgentHostsNeeded counts only the
/// urgent rank and does not clamp.
int64_t HostsNeeded(const host_demand& demand, const host_policy& policy,
                    const host_plan_parameters& parameters);
int64_t UrgentHostsNeeded(const host_demand& demand,
                          const host_plan_parameters& parameters);

/// Input of PlanHostMix.
struct host_plan_input {
  /// Number of hosts to plan, and how many of them must remain when all
  /// reclaimable hosts of any one availability zone are reclaimed at once.
  int64_t target = 0;
  int64_t urgent_hosts = 0;
  std::vector<priced_offer> offers;
  /// Hosts that are running or starting.
  offer_counts existing;
  /// Limit on the total price per hour; 0 for no limit.
  double max_price_per_hour = 0;

  bool operator==(const host_plan_input&) const = default;
};

/// Builds the cheapest mix of hosts greedily, with the expected cost of
/// reclaims included in prices, that keeps at least `urgent_hosts` hosts when
/// any one zone loses its reclaimable hosts. Existing hosts are kept unless
/// others are cheaper by more than `keep_discount`. Returns fewer than `target`
/// hosts when the available offers or the price limit do not allow more.
offer_counts PlanHostMix(const host_plan_input& input,
                         const host_plan_parameters& parameters);

/// Target number of hosts over time. It rises immediately and falls only after
/// `release_after` of lower demand, to the highest number needed in that time.
class host_count_target {
 public:
  explicit host_count_target(const host_plan_parameters& parameters)
      : parameters_(parameters) {}

  int64_t Update(int64_t needed, time_point now);

 private:
  host_plan_parameters parameters_;
  int64_t target_ = 0;
  int64_t max_needed_ = 0;
  std::optional<time_point> below_target_since_;
};

/// Hosts to start and to drain, by offer.
struct host_changes {
  offer_counts start;
  offer_counts drain;

  bool operator==(const host_changes&) const = default;
};

/// Plans the changes from `existing` to `desired`. `running` are the existing
/// hosts that already serve. Surplus hosts are drained only while at least
/// `target` hosts (or all of `desired`, if that is fewer) keep running, so that
/// replacements serve before the old hosts go.
host_changes PlanHostChanges(const offer_counts& desired,
                             const offer_counts& existing,
                             const offer_counts& running, int64_t target);

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_CONTROL_SKYLARKCROFT_HOST_PLAN_H_
