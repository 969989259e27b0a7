#ifndef SKYLARKCROFT_DUTIES_SKYLARKCROFT_FLEET_PLANNER_H_
#define SKYLARKCROFT_DUTIES_SKYLARKCROFT_FLEET_PLANNER_H_

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "skylarkcroft/duties/skylarkcroft_duty_calls.h"
#include "skylarkcroft/duties/skylarkcroft_surplus_window.h"
#include "skylarkcroft/internal/skylarkcroft_time.h"
#include "skylarkcroft/placement/skylarkcroft_upstream_entry.h"
#include "skylarkcroft/service/skylarkcroft_service_map.h"

namespace skylarkcroft {

/// Tunable parameters of the fleet planner.
struct fleet_planner_parameters {
  /// Requests in flight planned for each upstream. In a batch of this size a
  /// stream generates tokens at half the speed of one running alone.
  double target_requests_per_upstream = 12;
  /// The same as a fraction of an upstream's batch slots, which applies where
  /// it has few: a request that finds all slots taken preempts a running
  /// stream.
  double target_slot_fraction = 0.4;
  /// Upstreams planned beyond the load, as a fraction, so that the rest can
  /// carry the load when a whole availability zone is reclaimed.
  double reserve_fraction = 0.4;
  /// Upstreams planned in each availability zone whatever the load, on
  /// average over the zones.
  int baseline_per_zone = 4;
  /// The plan is scaled down only after the load has been lower for this long,
  /// which is longer than most bursts and lulls.
  milliseconds scale_down_delay{20000};
  /// After that it shrinks by this fraction in each scale-down period.
  double scale_down_fraction = 0.2;
  milliseconds scale_down_period{4000};
  /// For this time after the first plan, the planned total does not go below
  /// the number of upstreams present: the load is not known yet.
  milliseconds initial_hold_time{9000};
  /// For this time after the first plan, and while there is no load, on-demand
  /// upstreams are not ordered. Those that the operators started register one
  /// after the other meanwhile; an order by the count seen so far would
  /// terminate the rest.
  milliseconds discovery_time{4000};
  /// An increase of the plan is at least this fraction, so that a steadily
  /// growing load needs few orders.
  double min_scale_up_fraction = 0.08;
  /// An order whose upstreams have not appeared is repeated this long after
  /// the boot time of an upstream has passed. Also the delay before a rejected
  /// or unanswered order is repeated.
  milliseconds order_retry_delay{1500};
  /// A call without a response may be carried out this much later: the platform
  /// documents some seconds.
  milliseconds late_execution_limit{8000};
  /// Delay before ordering again after the cloud reported no capacity.
  milliseconds unavailable_retry_delay{3000};
  /// Upstreams with requests in flight are terminated only after this time,
  /// which is longer than most requests run.
  milliseconds max_drain_wait{8000};
  /// Reclaimable upstreams must have been too few for this long before
  /// on-demand ones are ordered: a shorter disturbance is over before those
  /// have started.
  milliseconds shortage_delay{1500};
  /// Fraction of the needed upstreams with which a service gets by for a short
  /// time.
  double emergency_fraction = 0.6;
  /// Fraction by which the ready reclaimable upstreams must exceed the recent
  /// peak need before on-demand upstreams are terminated although the plan
  /// asks for more.
  double headroom_fraction = 0.15;
  /// The recent peak need is the greatest need in about this time.
  milliseconds recent_need_window{8000};
  /// On-demand upstreams that the load has not needed for this long are
  /// terminated although reclaimable ones are not available: they cost several
  /// times as much, and they take places that returning reclaimable ones need.
  milliseconds on_demand_surplus_delay{3000};
  /// On-demand upstreams with requests in flight are terminated after this
  /// time; they drain as they leave.
  milliseconds max_on_demand_drain_wait{2000};
  /// Time constant of the mean need while the upstreams present carry it.
  milliseconds need_time_constant{2000};
  /// The same while they do not. Requests then take longer, so that more are in
  /// flight than the load alone explains.
  milliseconds strained_need_time_constant{20000};
  /// While upstreams are missing, the need is taken to be at most this multiple
  /// of the mean need.
  double max_strained_need = 1.5;
  /// Fraction of the planned total that must be ready as reclaimable upstreams
  /// before on-demand upstreams are terminated.
  double min_ready_fraction = 0.75;

  bool operator==(const fleet_planner_parameters&) const = default;
};

/// An upstream and its number of requests in flight.
struct fleet_upstream {
  upstream_entry entry;
  int in_flight = 0;

  bool operator==(const fleet_upstream&) const = default;
};

/// State of one service that the planner decides by.
struct fleet_view {
  std::string service;
  scaling_limits scaling;
  int slots = 0;  ///< Batch slots of one upstream; 0 when unknown.
  std::vector<fleet_upstream> upstreams;
  int in_flight = 0;  ///< Requests in flight at the whole service.

  bool operator==(const fleet_view&) const = default;
};

/// Decides how many upstreams of each kind a service should have in each
/// availability zone. Reclaimable upstreams are spread over all zones, since
/// those of a zone are reclaimed together; on-demand upstreams, which cost the
/// full price, are ordered only where reclaimable ones are not available or
/// not enough. Does no input or output.
class fleet_planner {
 public:
  explicit fleet_planner(const fleet_planner_parameters& parameters);

  /// Returns the orders that are due for one service, reclaimable upstreams
  /// first.
  std::vector<fleet_order> Plan(const fleet_view& view, time_point now);
  /// Records the outcome of an order that Plan() returned.
  void OnOrderOutcome(const fleet_order& order, duty_outcome outcome,
                      time_point now);

 private:
  struct order_key {
    std::string service;
    std::string availability_zone;
    bool reclaimable = false;

    auto operator<=>(const order_key&) const = default;
  };
  struct last_order {
    std::optional<int> count;  ///< Empty when it was not accepted.
    time_point at{};
    time_point not_before{};  ///< Earliest time of the next order.
    /// Until when an order without a response may still be carried out, after
    /// newer ones.
    std::optional<time_point> unsettled_until;
  };
  struct demand_history {
    int total = 0;  ///< Planned upstreams of the service.
    /// When the whole total was last needed; advanced by each scale-down step.
    time_point last_needed_at{};
    time_point first_planned_at{};
    std::optional<time_point> shortage_since;
    int need = 0;  ///< Upstreams that the present load requires.
    int recent_peak_need = 0;
    time_point recent_peak_at{};
    /// Mean need; empty before the first request.
    std::optional<double> mean_need;
    time_point mean_need_at{};
    surplus_window on_demand_surplus;
  };
  /// Reclaimable upstreams of a service over its zones.
  struct reclaimable_counts {
    int ready = 0;
    int expected = 0;  ///< Ready or starting.
    int zones = 0;     ///< Zones that have expected ones.
  };

  /// Upstreams that the requests in flight require, without reserve.
  [[nodiscard]] int RequiredCount(const fleet_view& view) const;
  /// Whether the service can do without on-demand upstreams when `planned`
  /// reclaimable ones are planned.
  [[nodiscard]] bool ReclaimableSuffice(const fleet_view& view,
                                        const reclaimable_counts& reclaimable,
                                        int planned, time_point now) const;
  [[nodiscard]] reclaimable_counts CountReclaimable(const fleet_view& view,
                                                    time_point now) const;
  /// On-demand upstreams that carry a part of the load which grows with the
  /// share of the zones that have been reclaimed: those that are left may be
  /// reclaimed before an on-demand upstream that is ordered only then has
  /// started.
  [[nodiscard]] int NeededAtRisk(const fleet_view& view,
                                 const reclaimable_counts& reclaimable) const;
  /// How many on-demand upstreams are needed beside the reclaimable ones: for
  /// the load that exceeds these, once that has lasted for the shortage delay,
  /// and at once for a part of the load that grows with the share of the zones
  /// that have been reclaimed.
  int Shortage(const fleet_view& view, const reclaimable_counts& reclaimable,
               time_point now);
  /// Updates the need of the service from the requests in flight.
  void RecordNeed(demand_history& history, const fleet_view& view,
                  time_point now) const;
  /// Planned number of upstreams of the service over all zones.
  int TargetTotal(const fleet_view& view, time_point now);
  /// Count of the last order if the cloud accepted it, else 0.
  [[nodiscard]] int LastAcceptedCount(const std::string& service,
                                      const std::string& zone,
                                      bool reclaimable) const;
  /// Reclaimable upstreams of a zone that are ready or starting.
  [[nodiscard]] int ReadyOrStarting(const fleet_view& view,
                                    const std::string& zone,
                                    time_point now) const;
  [[nodiscard]] std::vector<fleet_order> OnDemandOrders(const fleet_view& view,
                                                        int per_zone,
                                                        time_point now);
  /// On-demand upstreams of a zone, less those that the last accepted order
  /// terminates.
  [[nodiscard]] int ExpectedOnDemand(const fleet_view& view,
                                     const std::string& zone) const;
  /// On-demand upstreams that the load and its reserve have not needed for the
  /// surplus delay.
  int OnDemandSurplus(const fleet_view& view,
                      const reclaimable_counts& reclaimable, time_point now);
  /// Orders that terminate `surplus` on-demand upstreams, the most expensive
  /// first. `zones` are sorted by price.
  [[nodiscard]] std::vector<fleet_order> SurplusOrders(
      const fleet_view& view, const std::vector<zone_price>& zones,
      int surplus) const;
  /// On-demand upstreams that a zone lacks for the minimum per zone.
  [[nodiscard]] static int MissingForMinimum(const fleet_view& view,
                                             const std::string& zone);
  /// On-demand upstreams of each of `zones`, which are sorted by price, such
  /// that `shortage` is covered.
  [[nodiscard]] std::vector<int> OnDemandTargets(
      const fleet_view& view, const std::vector<zone_price>& zones,
      int per_zone, int shortage, time_point now) const;
  /// Whether the order has to be sent, given `present` upstreams that are not
  /// draining.
  [[nodiscard]] bool IsDue(const fleet_order& order, int present,
                           const fleet_view& view, time_point now) const;
  /// Whether a reducing order may be sent now: none of the upstreams it
  /// concerns has requests in flight, or the drain wait has passed.
  bool MayScaleDown(const fleet_order& order, const fleet_view& view,
                    time_point now);

  fleet_planner_parameters parameters_;
  std::map<order_key, last_order> last_orders_;
  /// When a reducing order first became due.
  std::map<order_key, time_point> scale_down_since_;
  std::map<std::string, demand_history> demand_;
};

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_DUTIES_SKYLARKCROFT_FLEET_PLANNER_H_
