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
struct host_terms {
  double slots_per_host = 16;
  /// Share of the slots that may be in use with the latency target still met.
  double usable_share = 0.8;
  /// Hours of a host's price that one reclaim costs: a host that is paid while
  /// it starts and loads, and work computed again.
  double reclaim_cost_hours = 0.5;
  /// A host that runs is preferred to one that is cheaper by less than this.
  double keep_share = 0.2;
  /// Time for which less must be needed before hosts are released.
  std::chrono::minutes release_after{10};

  bool operator==(const host_terms&) const = default;
};

using offer_counts = std::map<host_offer, int64_t>;

/// Hosts that `demand` needs for its latency target, within the policy's
/// bounds, and those that the urgent rank alone needs.
int64_t HostsNeeded(const host_demand& demand, const host_policy& policy,
                    const host_terms& terms);
int64_t UrgentHostsNeeded(const host_demand& demand, const host_terms& terms);

/// What the planner goes by.
struct host_question {
  /// Hosts wanted, and how many of them have to be left when all reclaimable
  /// hosts of any one zone go at once.
  int64_t target = 0;
  int64_t urgent = 0;
  std::vector<priced_offer> offers;
  /// Hosts that run or start.
  offer_counts existing;
  /// Ceiling on spending an hour; 0 for none.
  double max_price_per_hour = 0;

  bool operator==(const host_question&) const = default;
};

/// The cheapest mix of hosts, reclaims counted in, that keeps `urgent` hosts
/// whichever zone goes. Hosts that exist are kept unless others are clearly
/// cheaper. Holds fewer than `target` hosts when the offers or the ceiling do
/// not allow more.
offer_counts PlanMix(const host_question& question, const host_terms& terms);

/// The number of hosts to aim at over time: rises at once, falls only after
/// less was needed for a while.
class host_target {
 public:
  explicit host_target(const host_terms& terms) : terms_(terms) {}

  int64_t Update(int64_t needed, time_point now);

 private:
  host_terms terms_;
  int64_t target_ = 0;
  int64_t most_since_ = 0;
  std::optional<time_point> lower_since_;
};

/// What to start and what to drain on the way from `existing` to `wanted`.
struct host_changes {
  offer_counts start;
  offer_counts drain;

  bool operator==(const host_changes&) const = default;
};

/// Surplus hosts are drained only as far as `running` hosts, those of
/// `existing` that serve, stay at `target`: replacements serve first.
host_changes ChangesTo(const offer_counts& wanted, const offer_counts& existing,
                       const offer_counts& running, int64_t target);

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_CONTROL_SKYLARKCROFT_HOST_PLAN_H_
