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

void fleet_planner::RecordNeed(demand_history& history, int needed,
                               time_point now) const {
  if (needed >= history.recent_peak_need ||
      now - history.recent_peak_at > parameters_.recent_need_window) {
    history.recent_peak_need = needed;
    history.recent_peak_at = now;
  }
}

int fleet_planner::Shortage(const fleet_view& view, int expected,
                            time_point now) {
  demand_history& history = demand_.at(view.service);
  const int shortage = std::max(0, RequiredCount(view) - expected);
  if (shortage == 0) {
    history.shortage_since.reset();
    return 0;
  }
  history.shortage_since = history.shortage_since.value_or(now);
  return now - *history.shortage_since >= parameters_.shortage_delay ? shortage
                                                                     : 0;
}

bool fleet_planner::ReclaimableSuffice(const fleet_view& view, int ready,
                                       int planned, time_point now) const {
  if (ready >=
      static_cast<int>(std::ceil(parameters_.min_ready_fraction * planned))) {
    return true;
  }
  const demand_history& history = demand_.at(view.service);
  const bool hold_over =
      now - history.first_planned_at >= parameters_.initial_hold_time;
  return hold_over && view.in_flight > 0 &&
         ready >=
             static_cast<int>(std::ceil((1 + parameters_.headroom_fraction) *
                                        history.recent_peak_need));
}

int fleet_planner::TargetTotal(const fleet_view& view, time_point now) {
  const auto zones = static_cast<int>(view.scaling.zone_prices.size());
  const int with_reserve = static_cast<int>(
      std::ceil((1 + parameters_.reserve_fraction) * RequiredCount(view)));
  const int total =
      std::max(with_reserve, zones * parameters_.baseline_per_zone);
  const auto [found, first] = demand_.try_emplace(view.service);
  demand_history& history = found->second;
  if (first) {
    history.first_planned_at = now;
  }
  RecordNeed(history, RequiredCount(view), now);
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
  if (!idle && now - since < parameters_.max_drain_wait) {
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
  int ready = 0;
  int expected = 0;
  for (const zone_price& zone : zones) {
    ready += CountPresentIn(view, zone.availability_zone, true);
    expected += ReadyOrStarting(view, zone.availability_zone, now);
  }
  const bool enough =
      ReclaimableSuffice(view, ready, per_zone * zone_count, now);
  // On-demand upstreams cover the shortage, in the cheapest zones first.
  int shortage = Shortage(view, expected, now);
  std::vector<fleet_order> orders;
  for (const zone_price& zone : zones) {
    const std::string& name = zone.availability_zone;
    const int present = CountPresentIn(view, name, false);
    const int minimum = std::max(
        0, view.scaling.min_per_zone - CountPresentIn(view, name, true));
    // Ordered reclaimable upstreams that are neither ready nor starting do not
    // count towards the maximum per zone.
    const int room = std::max(
        0, view.scaling.max_per_zone - ReadyOrStarting(view, name, now));
    const int target = std::max(minimum, std::clamp(shortage, 0, room));
    shortage -= std::max(target, present);
    if (enough) {
      orders.push_back({view.service, name, false, minimum});
      continue;
    }
    // A lower count than the accepted one would terminate upstreams that are
    // still starting.
    const int count =
        std::max(target, LastAcceptedCount(view.service, name, false));
    if (count > present) {
      orders.push_back({view.service, name, false, count});
    }
  }
  return orders;
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
  switch (outcome) {
    case duty_outcome::kAccepted:
      last.count = order.count;
      return;
    case duty_outcome::kUnavailable:
      last.count.reset();
      last.not_before = now + parameters_.unavailable_retry_delay;
      return;
    case duty_outcome::kRefused:
    case duty_outcome::kUnknown:
      last.count.reset();
      last.not_before = now + parameters_.order_retry_delay;
      return;
  }
}

}  // namespace skylarkcroft
