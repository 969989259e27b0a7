#include "skylarkcroft/control/skylarkcroft_host_plan.h"

#include <algorithm>
#include <cmath>
#include <string>

namespace skylarkcroft {
namespace {

int64_t HostsFor(double concurrent, const host_plan_parameters& parameters) {
  const double usable = parameters.slots_per_host * parameters.usable_share;
  return static_cast<int64_t>(std::ceil(concurrent / usable));
}

int64_t CountOf(const offer_counts& counts, const host_offer& offer) {
  const auto found = counts.find(offer);
  return found == counts.end() ? 0 : found->second;
}

int64_t Total(const offer_counts& counts) {
  int64_t total = 0;
  for (const auto& [offer, count] : counts) {
    total += count;
  }
  return total;
}

int64_t ReclaimableInZone(const offer_counts& counts, const std::string& zone) {
  int64_t total = 0;
  for (const auto& [offer, count] : counts) {
    const bool counted = offer.reclaimable && offer.availability_zone == zone;
    total += counted ? count : 0;
  }
  return total;
}

// Price per hour including the expected cost of reclaims; lowered for hosts
// that already exist.
double EffectivePrice(const priced_offer& offer, bool exists,
                      const host_plan_parameters& parameters) {
  const double with_reclaims =
      offer.price_per_hour *
      (1 + offer.reclaims_per_hour * parameters.reclaim_cost_hours);
  return exists ? with_reclaims * (1 - parameters.keep_discount)
                : with_reclaims;
}

/// Returns the offer with the lowest effective price for one more host, or null
/// when none is allowed.
const priced_offer* BestOffer(const host_plan_input& input,
                              const host_plan_parameters& parameters,
                              const offer_counts& mix, double spent) {
  const int64_t max_in_zone =
      std::max<int64_t>(0, input.target - input.urgent_hosts);
  const priced_offer* best = nullptr;
  double best_price = 0;
  for (const priced_offer& offer : input.offers) {
    const bool exists =
        CountOf(mix, offer.offer) < CountOf(input.existing, offer.offer);
    const bool zone_full =
        offer.offer.reclaimable &&
        ReclaimableInZone(mix, offer.offer.availability_zone) >= max_in_zone;
    const bool exceeds_price_limit =
        input.max_price_per_hour > 0 &&
        spent + offer.price_per_hour > input.max_price_per_hour;
    if ((!exists && !offer.available) || zone_full || exceeds_price_limit) {
      continue;
    }
    const double price = EffectivePrice(offer, exists, parameters);
    if (best == nullptr || price < best_price) {
      best = &offer;
      best_price = price;
    }
  }
  return best;
}

}  // namespace

int64_t HostsNeeded(const host_demand& demand, const host_policy& policy,
                    const host_plan_parameters& parameters) {
  double concurrent = 0;
  for (const double rank_requests : demand.concurrent) {
    concurrent += rank_requests;
  }
  return std::clamp(HostsFor(concurrent, parameters),
                    std::min(policy.min_hosts, policy.max_hosts),
                    policy.max_hosts);
}

int64_t UrgentHostsNeeded(const host_demand& demand,
                          const host_plan_parameters& parameters) {
  return HostsFor(demand.concurrent[IndexOf(rank::kUrgent)], parameters);
}

offer_counts PlanHostMix(const host_plan_input& input,
                         const host_plan_parameters& parameters) {
  offer_counts mix;
  double spent = 0;
  for (int64_t host = 0; host < input.target; ++host) {
    const priced_offer* best = BestOffer(input, parameters, mix, spent);
    if (best == nullptr) {
      break;
    }
    ++mix[best->offer];
    spent += best->price_per_hour;
  }
  return mix;
}

int64_t host_count_target::Update(int64_t needed, time_point now) {
  if (needed >= target_) {
    target_ = needed;
    below_target_since_.reset();
    return target_;
  }
  if (!below_target_since_) {
    below_target_since_ = now;
    max_needed_ = needed;
  }
  max_needed_ = std::max(max_needed_, needed);
  if (now >= *below_target_since_ + parameters_.release_after) {
    target_ = max_needed_;
    below_target_since_.reset();
  }
  return target_;
}

host_changes PlanHostChanges(const offer_counts& desired,
                             const offer_counts& existing,
                             const offer_counts& running, int64_t target) {
  host_changes changes;
  for (const auto& [offer, count] : desired) {
    const int64_t missing = count - CountOf(existing, offer);
    if (missing > 0) {
      changes.start[offer] = missing;
    }
  }
  int64_t removable = Total(running) - std::min(target, Total(desired));
  for (const auto& [offer, count] : existing) {
    const int64_t surplus = count - CountOf(desired, offer);
    const int64_t drained =
        std::min({surplus, removable, CountOf(running, offer)});
    if (drained > 0) {
      changes.drain[offer] = drained;
      removable -= drained;
    }
  }
  return changes;
}

}  // namespace skylarkcroft
