#include "skylarkcroft/duties/skylarkcroft_fleet_planner.h"

#include <algorithm>
#include <cmath>

namespace skylarkcroft {
namespace {

int CountPresentIn(const fleet_view& view, const std::string& zone,
                   bool reclaimable) {
  return static_cast<int>(
      std::count_if(view.upstreams.begin(), view.upstreams.end(),
                    [&](const fleet_upstream& upstream) {
                      return upstream.entry.availability_zone == zone &&
                             !upstream.entry.is_draining &&
                             upstream.entry.reclaimable == reclaimable;
                    }));
}

int CountPresent(const fleet_view& view, bool reclaimable) {
  return static_cast<int>(
      std::count_if(view.upstreams.begin(), view.upstreams.end(),
                    [&](const fleet_upstream& upstream) {
                      return !upstream.entry.is_draining &&
                             upstream.entry.reclaimable == reclaimable;
                    }));
}

}  // namespace

fleet_planner::fleet_planner(const fleet_planner_parameters& parameters)
    : parameters_(parameters) {}

int fleet_planner::RequiredCount(const fleet_view& view) const {
  double per_upstream = parameters_.target_requests_per_upstream;
  if (view.slots > 0) {
    per_upstream =
        std::min(per_upstream, parameters_.target_slot_fraction * view.slots);
  }
  return static_cast<int>(std::ceil(static_cast<double>(view.in_flight) /
                                    std::max(per_upstream, 1.0)));
}

void fleet_planner::RecordNeed(demand_history& history, const fleet_view& view,
                               time_point now) const {
  const int required = RequiredCount(view);
  const int present = CountPresent(view, false) + CountPresent(view, true);
  const bool strained = required > present;
  if (!history.mean_need.has_value() && view.in_flight > 0) {
    history.mean_need = required;
  } else if (history.mean_need.has_value()) {
    const milliseconds time_constant =
        strained ? parameters_.strained_need_time_constant
                 : parameters_.need_time_constant;
    const double weight =
        1 -
        std::exp(-std::chrono::duration<double>(now - history.mean_need_at) /
                 std::chrono::duration<double>(time_constant));
    *history.mean_need += weight * (required - *history.mean_need);
  }
  history.mean_need_at = now;
  const bool upstreams_missing =
      present < static_cast<int>(
                    std::ceil(parameters_.min_ready_fraction * history.total));
  history.need = required;
  if (strained && upstreams_missing) {
    const auto limit = static_cast<int>(std::ceil(
        parameters_.max_strained_need * history.mean_need.value_or(required)));
    history.need = std::min(required, limit);
  }
  if (history.need >= history.recent_peak_need ||
      now - history.recent_peak_at > parameters_.recent_need_window) {
    history.recent_peak_need = history.need;
    history.recent_peak_at = now;
  }
}

fleet_planner::reclaimable_counts fleet_planner::CountReclaimable(
    const fleet_view& view, time_point now) const {
  reclaimable_counts counts;
  for (const zone_price& zone : view.scaling.zone_prices) {
    const int expected = ReadyOrStarting(view, zone.availability_zone, now);
    counts.ready += CountPresentIn(view, zone.availability_zone, true);
    counts.expected += expected;
    counts.zones += expected > 0 ? 1 : 0;
  }
  return counts;
}

int fleet_planner::NeededAtRisk(const fleet_view& view,
                                const reclaimable_counts& reclaimable) const {
  const auto zones = static_cast<int>(view.scaling.zone_prices.size());
  if (zones <= 1) {
    return 0;
  }
  const double share_at_risk =
      std::min(1.0, static_cast<double>(zones - reclaimable.zones) /
                        static_cast<double>(zones - 1));
  return static_cast<int>(
      std::ceil(parameters_.emergency_fraction * share_at_risk *
                demand_.at(view.service).recent_peak_need));
}

int fleet_planner::Shortage(const fleet_view& view,
                            const reclaimable_counts& reclaimable,
                            time_point now) {
  demand_history& history = demand_.at(view.service);
  const int uncovered = NeededAtRisk(view, reclaimable);
  const int shortage = std::max(0, history.need - reclaimable.expected);
  if (shortage == 0) {
    history.shortage_since.reset();
    return uncovered;
  }
  history.shortage_since = history.shortage_since.value_or(now);
  const bool lasting =
      now - *history.shortage_since >= parameters_.shortage_delay;
  return lasting ? std::max(shortage, uncovered) : uncovered;
}

bool fleet_planner::ReclaimableSuffice(const fleet_view& view,
                                       const reclaimable_counts& reclaimable,
                                       int planned, time_point now) const {
  if (reclaimable.ready >=
      static_cast<int>(std::ceil(parameters_.min_ready_fraction * planned))) {
    return true;
  }
  const demand_history& history = demand_.at(view.service);
  const bool hold_over =
      now - history.first_planned_at >= parameters_.initial_hold_time;
  return hold_over && view.in_flight > 0 && reclaimable.zones > 1 &&
         reclaimable.ready >=
             static_cast<int>(std::ceil((1 + parameters_.headroom_fraction) *
                                        history.recent_peak_need));
}

int fleet_planner::TargetTotal(const fleet_view& view, time_point now) {
  const auto zones = static_cast<int>(view.scaling.zone_prices.size());
  const auto [found, first] = demand_.try_emplace(view.service);
  demand_history& history = found->second;
  if (first) {
    history.first_planned_at = now;
  }
  RecordNeed(history, view, now);
  const int with_reserve = static_cast<int>(
      std::ceil((1 + parameters_.reserve_fraction) * history.need));
  const int total =
      std::max(with_reserve, zones * parameters_.baseline_per_zone);
  if (now - history.first_planned_at < parameters_.initial_hold_time) {
    // The load is not known yet; meanwhile the upstreams present are kept.
    history.total = std::max(
        {history.total, CountPresent(view, false), CountPresent(view, true)});
    history.last_needed_at = now;
  }
  if (total >= history.total) {
    const auto raised = static_cast<int>(
        std::ceil((1 + parameters_.min_scale_up_fraction) * history.total));
    history.total = total == history.total ? total : std::max(total, raised);
    history.last_needed_at = now;
  } else if (now - history.last_needed_at > parameters_.scale_down_delay) {
    // Scaled down in steps, since the load may return.
    const auto lowered = static_cast<int>(
        std::floor((1 - parameters_.scale_down_fraction) * history.total));
    history.total = std::max(total, std::min(lowered, history.total - zones));
    history.last_needed_at += parameters_.scale_down_period;
  }
  return history.total;
}

bool fleet_planner::IsDue(const fleet_order& order, int present,
                          const fleet_view& view, time_point now) const {
  const auto found = last_orders_.find(
      {order.service, order.availability_zone, order.reclaimable});
  if (found == last_orders_.end()) {
    return order.count != present;
  }
  const last_order& last = found->second;
  if (now < last.not_before) {
    return false;
  }
  if (last.count != order.count) {
    return true;
  }
  const bool may_have_been_undone =
      last.unsettled_until.has_value() && now >= *last.unsettled_until;
  if (may_have_been_undone && present != order.count) {
    return true;
  }
  const bool overdue =
      now - last.at > view.scaling.boot_time + parameters_.order_retry_delay;
  return present < order.count && overdue;
}

bool fleet_planner::MayScaleDown(const fleet_order& order,
                                 const fleet_view& view, time_point now) {
  const order_key key{order.service, order.availability_zone,
                      order.reclaimable};
  const time_point since =
      scale_down_since_.try_emplace(key, now).first->second;
  const bool idle = std::none_of(
      view.upstreams.begin(), view.upstreams.end(),
      [&](const fleet_upstream& upstream) {
        return upstream.entry.availability_zone == order.availability_zone &&
               upstream.entry.reclaimable == order.reclaimable &&
               upstream.in_flight > 0;
      });
  const milliseconds max_wait = order.reclaimable
                                    ? parameters_.max_drain_wait
                                    : parameters_.max_on_demand_drain_wait;
  if (!idle && now - since < max_wait) {
    return false;
  }
  scale_down_since_.erase(key);
  return true;
}

int fleet_planner::LastAcceptedCount(const std::string& service,
                                     const std::string& zone,
                                     bool reclaimable) const {
  const auto last = last_orders_.find({service, zone, reclaimable});
  return last == last_orders_.end() ? 0 : last->second.count.value_or(0);
}

int fleet_planner::ReadyOrStarting(const fleet_view& view,
                                   const std::string& zone,
                                   time_point now) const {
  const int ready = CountPresentIn(view, zone, true);
  const auto last = last_orders_.find({view.service, zone, true});
  const bool starting =
      last != last_orders_.end() &&
      now - last->second.at <=
          view.scaling.boot_time + parameters_.order_retry_delay;
  return starting ? std::max(ready, last->second.count.value_or(0)) : ready;
}

std::vector<fleet_order> fleet_planner::OnDemandOrders(const fleet_view& view,
                                                       int per_zone,
                                                       time_point now) {
  std::vector<zone_price> zones = view.scaling.zone_prices;
  std::sort(zones.begin(), zones.end(),
            [](const zone_price& a, const zone_price& b) {
              return a.price < b.price;
            });
  const auto zone_count = static_cast<int>(zones.size());
  const reclaimable_counts reclaimable = CountReclaimable(view, now);
  const bool enough =
      ReclaimableSuffice(view, reclaimable, per_zone * zone_count, now);
  const int shortage = Shortage(view, reclaimable, now);
  const int surplus = OnDemandSurplus(view, reclaimable, now);
  if (!enough && surplus > 0) {
    return SurplusOrders(view, zones, surplus);
  }
  const std::vector<int> targets =
      OnDemandTargets(view, zones, per_zone, shortage, now);
  std::vector<fleet_order> orders;
  for (size_t i = 0; i < zones.size(); ++i) {
    const std::string& name = zones[i].availability_zone;
    if (enough) {
      orders.push_back(
          {view.service, name, false, MissingForMinimum(view, name)});
      continue;
    }
    // A lower count than the accepted one would terminate upstreams that are
    // still starting.
    const int count =
        std::max(targets[i], LastAcceptedCount(view.service, name, false));
    if (count > CountPresentIn(view, name, false)) {
      orders.push_back({view.service, name, false, count});
    }
  }
  return orders;
}

int fleet_planner::ExpectedOnDemand(const fleet_view& view,
                                    const std::string& zone) const {
  const int present = CountPresentIn(view, zone, false);
  const auto last = last_orders_.find({view.service, zone, false});
  return last == last_orders_.end()
             ? present
             : std::min(present, last->second.count.value_or(present));
}

int fleet_planner::OnDemandSurplus(const fleet_view& view,
                                   const reclaimable_counts& reclaimable,
                                   time_point now) {
  demand_history& history = demand_.at(view.service);
  int on_demand = 0;
  for (const zone_price& zone : view.scaling.zone_prices) {
    on_demand += ExpectedOnDemand(view, zone.availability_zone);
  }
  const bool load_is_known =
      view.in_flight > 0 &&
      now - history.first_planned_at >= parameters_.initial_hold_time;
  const auto with_reserve = static_cast<int>(
      std::ceil((1 + parameters_.reserve_fraction) * history.need));
  const int surplus = std::min(reclaimable.ready + on_demand - with_reserve,
                               on_demand - NeededAtRisk(view, reclaimable));
  return history.on_demand_surplus.Record(
      load_is_known ? surplus : 0, parameters_.on_demand_surplus_delay, now);
}

std::vector<fleet_order> fleet_planner::SurplusOrders(
    const fleet_view& view, const std::vector<zone_price>& zones,
    int surplus) const {
  std::vector<fleet_order> orders;
  for (auto zone = zones.rbegin(); zone != zones.rend(); ++zone) {
    const std::string& name = zone->availability_zone;
    const int expected = ExpectedOnDemand(view, name);
    const int removed = std::clamp(expected - MissingForMinimum(view, name), 0,
                                   std::max(surplus, 0));
    if (removed == 0) {
      continue;
    }
    surplus -= removed;
    orders.push_back({view.service, name, false, expected - removed});
  }
  return orders;
}

int fleet_planner::MissingForMinimum(const fleet_view& view,
                                     const std::string& zone) {
  return std::max(0,
                  view.scaling.min_per_zone - CountPresentIn(view, zone, true));
}

std::vector<int> fleet_planner::OnDemandTargets(
    const fleet_view& view, const std::vector<zone_price>& zones, int per_zone,
    int shortage, time_point now) const {
  std::vector<int> targets;
  targets.reserve(zones.size());
  for (const zone_price& zone : zones) {
    const std::string& name = zone.availability_zone;
    targets.push_back(MissingForMinimum(view, name));
    shortage -= std::max(targets.back(), CountPresentIn(view, name, false));
  }
  // First without using the places of planned reclaimable upstreams, which
  // could otherwise not return to the zone, then up to the maximum.
  for (const bool keep_places : {true, false}) {
    for (size_t i = 0; i < zones.size() && shortage > 0; ++i) {
      const std::string& name = zones[i].availability_zone;
      const int taken = ReadyOrStarting(view, name, now);
      const int reserved = keep_places ? std::max(per_zone, taken) : taken;
      const int present =
          std::max(targets[i], CountPresentIn(view, name, false));
      const int added = std::clamp(
          view.scaling.max_per_zone - reserved - present, 0, shortage);
      if (added > 0) {
        targets[i] = present + added;
        shortage -= added;
      }
    }
  }
  return targets;
}

std::vector<fleet_order> fleet_planner::Plan(const fleet_view& view,
                                             time_point now) {
  const std::vector<zone_price>& zones = view.scaling.zone_prices;
  if (zones.empty() || view.scaling.max_per_zone <= 0) {
    return {};
  }
  const int total = TargetTotal(view, now);
  const int per_zone = std::clamp(
      static_cast<int>(std::ceil(static_cast<double>(total) /
                                 static_cast<double>(zones.size()))),
      std::max(view.scaling.min_per_zone, 1), view.scaling.max_per_zone);
  std::vector<fleet_order> orders;
  orders.reserve(2 * zones.size());
  for (const zone_price& zone : zones) {
    orders.push_back({view.service, zone.availability_zone, true, per_zone});
  }
  const bool discovering =
      view.in_flight == 0 && now - demand_.at(view.service).first_planned_at <
                                 parameters_.discovery_time;
  if (!discovering) {
    const std::vector<fleet_order> on_demand =
        OnDemandOrders(view, per_zone, now);
    orders.insert(orders.end(), on_demand.begin(), on_demand.end());
  }
  std::erase_if(orders, [&](const fleet_order& order) {
    const int present =
        CountPresentIn(view, order.availability_zone, order.reclaimable);
    const bool reduces = order.count < present;
    return !IsDue(order, present, view, now) ||
           (reduces && !MayScaleDown(order, view, now));
  });
  return orders;
}

void fleet_planner::OnOrderOutcome(const fleet_order& order,
                                   duty_outcome outcome, time_point now) {
  last_order& last =
      last_orders_[{order.service, order.availability_zone, order.reclaimable}];
  last.at = now;
  last.not_before = now;
  if (last.unsettled_until.has_value() && now >= *last.unsettled_until) {
    last.unsettled_until.reset();
  }
  switch (outcome) {
    case duty_outcome::kAccepted:
      last.count = order.count;
      return;
    case duty_outcome::kUnavailable:
      last.count.reset();
      last.not_before = now + parameters_.unavailable_retry_delay;
      return;
    case duty_outcome::kUnknown:
      last.unsettled_until = now + parameters_.late_execution_limit;
      [[fallthrough]];
    case duty_outcome::kRefused:
    case duty_outcome::kOutdated:
      last.count.reset();
      last.not_before = now + parameters_.order_retry_delay;
      return;
  }
}

}  // namespace skylarkcroft
