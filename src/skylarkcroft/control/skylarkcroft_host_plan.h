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

/// Requests that have to run at once, by rank: their rate of arrival times the
/// time one takes.
struct host_demand {
  std::array<double, kRankCount> concurrent{};

  bool operator==(const host_demand&) const = default;
};

/// How hosts are weighed.
struct host_plan_parameters {
  double slots_per_host = 16;
  /// Share of the slots that may be in use with the latency target still met.
  double usable_share = 0.8;
  /// Hours of a host's price that one reclaim costs: a host that is paid while
  /// it starts and loads, and work computed again.
  double reclaim_cost_hours = 0.5;
  /// A host that runs is preferred to one that is cheaper by less than this.
  double keep_discount = 0.2;
  /// Time for which less must be needed before hosts are released.
  std::chrono::minutes release_after{10};

  bool operator==(const host_plan_parameters&) const = default;
};

using offer_counts = std::map<host_offer, int64_t>;

/// Hosts that `demand` needs for its latency target, within the policy's
/// bounds, and those that the urgent rank alone needs.
int64_t HostsNeeded(const host_demand& demand, const host_policy& policy,
                    const host_plan_parameters& parameters);
int64_t UrgentHostsNeeded(const host_demand& demand,
                          const host_plan_parameters& parameters);

/// What the planner goes by.
struct host_plan_input {
  /// Hosts wanted, and how many of them have to be left when all reclaimable
  /// hosts of any one zone go at once.
  int64_t target = 0;
  int64_t urgent_hosts = 0;
  std::vector<priced_offer> offers;
  /// Hosts that run or start.
  offer_counts existing;
  /// Ceiling on spending an hour; 0 for none.
  double max_price_per_hour = 0;

  bool operator==(const host_plan_input&) const = default;
};

/// The cheapest mix of hosts, reclaims counted in, that keeps `urgent_hosts`
/// hosts whichever zone goes. Hosts that exist are kept unless others are
/// clearly cheaper. Holds fewer than `target` hosts when the offers or the
/// ceiling do not allow more.
offer_counts PlanHostMix(const host_plan_input& input,
                         const host_plan_parameters& parameters);

/// The number of hosts to aim at over time: rises at once, falls only after
/// less was needed for a while.
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

/// What to start and what to drain on the way from `existing` to `desired`.
struct host_changes {
  offer_counts start;
  offer_counts drain;

  bool operator==(const host_changes&) const = default;
};

/// Surplus hosts are drained only as far as `running` hosts, those of
/// `existing` that serve, stay at `target`: replacements serve first.
host_changes PlanHostChanges(const offer_counts& desired,
                             const offer_counts& existing,
                             const offer_counts& running, int64_t target);

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_CONTROL_SKYLARKCROFT_HOST_PLAN_H_
