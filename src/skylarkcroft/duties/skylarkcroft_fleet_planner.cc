#include "skylarkcroft/duties/skylarkcroft_fleet_planner.h"

#include <algorithm>
#include <cmath>

namespace skylarkcroft {
namespace {

int CountReady(const fleet_view& view, const std::string& zone,
               bool reclaimable) {
  return static_cast<int>(std::count_if(
      view.upstreams.begin(), view.upstreams.end(),
      [&](const fleet_upstream& one) {
        return one.entry.availability_zone == zone && !one.entry.leaving &&
               one.entry.reclaimable == reclaimable;
      }));
}

int CountAll(const fleet_view& view, bool reclaimable) {
  return static_cast<int>(std::count_if(
      view.upstreams.begin(), view.upstreams.end(),
      [&](const fleet_upstream& one) {
        return !one.entry.leaving && one.entry.reclaimable == reclaimable;
      }));
}

}  // namespace

fleet_planner::fleet_planner(const fleet_terms& terms) : terms_(terms) {}

int fleet_planner::Needed(const fleet_view& view) const {
  double each = terms_.running_per_upstream;
  if (view.slots > 0) {
    each = std::min(each, terms_.running_share * view.slots);
  }
  return static_cast<int>(
      std::ceil(static_cast<double>(view.running) / std::max(each, 1.0)));
}

void fleet_planner::NoteNeed(demand& known, int needed, time_point now) const {
  if (needed >= known.recent_need ||
      now - known.recent_at > terms_.need_memory) {
    known.recent_need = needed;
    known.recent_at = now;
  }
}

int fleet_planner::Missing(const fleet_view& view, int coming, time_point now) {
  demand& known = demands_.at(view.service);
  const int missing = std::max(0, Needed(view) - coming);
  if (missing == 0) {
    known.short_since.reset();
    return 0;
  }
  known.short_since = known.short_since.value_or(now);
  return now - *known.short_since >= terms_.shortage_time ? missing : 0;
}

bool fleet_planner::IsEnough(const fleet_view& view, int ready, int planned,
                             time_point now) const {
  if (ready >= static_cast<int>(std::ceil(terms_.ready_share * planned))) {
    return true;
  }
  const demand& known = demands_.at(view.service);
  const bool learned = now - known.since >= terms_.learning_time;
  return learned && view.running > 0 &&
         ready >= static_cast<int>(
                      std::ceil((1 + terms_.spare_share) * known.recent_need));
}

int fleet_planner::Total(const fleet_view& view, time_point now) {
  const auto zones = static_cast<int>(view.scaling.zone_prices.size());
  const int with_reserve =
      static_cast<int>(std::ceil((1 + terms_.reserve_share) * Needed(view)));
  const int total = std::max(with_reserve, zones * terms_.least_per_zone);
  const auto [found, first] = demands_.try_emplace(view.service);
  demand& known = found->second;
  if (first) {
    known.since = now;
  }
  NoteNeed(known, Needed(view), now);
  if (now - known.since < terms_.learning_time) {
    // The load is not known yet; what is there stands meanwhile.
    known.total =
        std::max({known.total, CountAll(view, false), CountAll(view, true)});
    known.needed_at = now;
  }
  if (total >= known.total) {
    const auto raised =
        static_cast<int>(std::ceil((1 + terms_.least_rise) * known.total));
    known.total = total == known.total ? total : std::max(total, raised);
    known.needed_at = now;
  } else if (now - known.needed_at > terms_.fall_delay) {
    // In steps, since the load may return.
    const auto lowered =
        static_cast<int>(std::floor((1 - terms_.fall_share) * known.total));
    known.total = std::max(total, std::min(lowered, known.total - zones));
    known.needed_at += terms_.fall_period;
  }
  return known.total;
}

bool fleet_planner::IsDue(const fleet_order& order, int present,
                          const fleet_view& view, time_point now) const {
  const auto found =
      orders_.find({order.service, order.availability_zone, order.reclaimable});
  if (found == orders_.end()) {
    return order.count != present;
  }
  const ordered& last = found->second;
  if (now < last.not_before) {
    return false;
  }
  if (last.count != order.count) {
    return true;
  }
  const bool arrived_late =
      now - last.at > view.scaling.boot_time + terms_.repeat_after;
  return present < order.count && arrived_late;
}

bool fleet_planner::MayRetire(const fleet_order& order, const fleet_view& view,
                              time_point now) {
  const slot key{order.service, order.availability_zone, order.reclaimable};
  const time_point since = retiring_.try_emplace(key, now).first->second;
  const bool idle = std::none_of(
      view.upstreams.begin(), view.upstreams.end(),
      [&](const fleet_upstream& one) {
        return one.entry.availability_zone == order.availability_zone &&
               one.entry.reclaimable == order.reclaimable && one.running > 0;
      });
  if (!idle && now - since < terms_.longest_retirement) {
    return false;
  }
  retiring_.erase(key);
  return true;
}

int fleet_planner::Accepted(const std::string& service, const std::string& zone,
                            bool reclaimable) const {
  const auto last = orders_.find({service, zone, reclaimable});
  return last == orders_.end() ? 0 : last->second.count.value_or(0);
}

int fleet_planner::Coming(const fleet_view& view, const std::string& zone,
                          time_point now) const {
  const int ready = CountReady(view, zone, true);
  const auto last = orders_.find({view.service, zone, true});
  const bool starting =
      last != orders_.end() &&
      now - last->second.at <= view.scaling.boot_time + terms_.repeat_after;
  return starting ? std::max(ready, last->second.count.value_or(0)) : ready;
}

std::vector<fleet_order> fleet_planner::FullPriceOrders(const fleet_view& view,
                                                        int per_zone,
                                                        time_point now) {
  std::vector<zone_price> zones = view.scaling.zone_prices;
  std::sort(zones.begin(), zones.end(),
            [](const zone_price& a, const zone_price& b) {
              return a.price < b.price;
            });
  const auto zone_count = static_cast<int>(zones.size());
  int ready = 0;
  int coming = 0;
  for (const zone_price& zone : zones) {
    ready += CountReady(view, zone.availability_zone, true);
    coming += Coming(view, zone.availability_zone, now);
  }
  const bool enough = IsEnough(view, ready, per_zone * zone_count, now);
  // What the reclaimable ones cannot carry, the cheapest zones first.
  int missing = Missing(view, coming, now);
  std::vector<fleet_order> orders;
  for (const zone_price& zone : zones) {
    const std::string& name = zone.availability_zone;
    const int there = CountReady(view, name, false);
    const int least =
        std::max(0, view.scaling.min_per_zone - CountReady(view, name, true));
    // Reclaimable ones that cannot be had take no room.
    const int room =
        std::max(0, view.scaling.max_per_zone - Coming(view, name, now));
    const int part = std::max(least, std::clamp(missing, 0, room));
    missing -= std::max(part, there);
    if (enough) {
      orders.push_back({view.service, name, false, least});
      continue;
    }
    // Those that are on their way are not called back.
    const int wanted = std::max(part, Accepted(view.service, name, false));
    if (wanted > there) {
      orders.push_back({view.service, name, false, wanted});
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
  const int total = Total(view, now);
  const int per_zone = std::clamp(
      static_cast<int>(std::ceil(static_cast<double>(total) /
                                 static_cast<double>(zones.size()))),
      std::max(view.scaling.min_per_zone, 1), view.scaling.max_per_zone);
  std::vector<fleet_order> orders;
  orders.reserve(2 * zones.size());
  for (const zone_price& zone : zones) {
    orders.push_back({view.service, zone.availability_zone, true, per_zone});
  }
  const bool announcing =
      view.running == 0 &&
      now - demands_.at(view.service).since < terms_.announce_time;
  if (!announcing) {
    const std::vector<fleet_order> full_price =
        FullPriceOrders(view, per_zone, now);
    orders.insert(orders.end(), full_price.begin(), full_price.end());
  }
  std::erase_if(orders, [&](const fleet_order& order) {
    const int present =
        CountReady(view, order.availability_zone, order.reclaimable);
    const bool falls = order.count < present;
    return !IsDue(order, present, view, now) ||
           (falls && !MayRetire(order, view, now));
  });
  return orders;
}

void fleet_planner::NoteAnswer(const fleet_order& order, duty_outcome outcome,
                               time_point now) {
  ordered& last =
      orders_[{order.service, order.availability_zone, order.reclaimable}];
  last.at = now;
  last.not_before = now;
  switch (outcome) {
    case duty_outcome::kAccepted:
      last.count = order.count;
      return;
    case duty_outcome::kUnavailable:
      last.count.reset();
      last.not_before = now + terms_.unavailable_pause;
      return;
    case duty_outcome::kRefused:
    case duty_outcome::kUnknown:
      last.count.reset();
      last.not_before = now + terms_.repeat_after;
      return;
  }
}

}  // namespace skylarkcroft
