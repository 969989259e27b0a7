#include "skylarkcroft/control/skylarkcroft_host_plan.h"

#include <algorithm>
#include <cmath>
#include <string>

namespace skylarkcroft {
namespace {

int64_t HostsFor(double concurrent, const host_terms& terms) {
  const double usable = terms.slots_per_host * terms.usable_share;
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

int64_t ReclaimableIn(const offer_counts& counts, const std::string& zone) {
  int64_t total = 0;
  for (const auto& [offer, count] : counts) {
    const bool counted = offer.reclaimable && offer.availability_zone == zone;
    total += counted ? count : 0;
  }
  return total;
}

// Price with what its reclaims cost.
double WeighedPrice(const priced_offer& offer, bool exists,
                    const host_terms& terms) {
  const double with_reclaims =
      offer.price_per_hour *
      (1 + offer.reclaims_per_hour * terms.reclaim_cost_hours);
  return exists ? with_reclaims * (1 - terms.keep_share) : with_reclaims;
}

/// The best offer for one more host, or null.
const priced_offer* BestOffer(const host_question& question,
                              const host_terms& terms, const offer_counts& mix,
                              double spent) {
  const int64_t most_in_zone =
      std::max<int64_t>(0, question.target - question.urgent);
  const priced_offer* best = nullptr;
  double best_price = 0;
  for (const priced_offer& offer : question.offers) {
    const bool exists =
        CountOf(mix, offer.offer) < CountOf(question.existing, offer.offer);
    const bool zone_full =
        offer.offer.reclaimable &&
        ReclaimableIn(mix, offer.offer.availability_zone) >= most_in_zone;
    const bool too_dear =
        question.max_price_per_hour > 0 &&
        spent + offer.price_per_hour > question.max_price_per_hour;
    if ((!exists && !offer.available) || zone_full || too_dear) {
      continue;
    }
    const double price = WeighedPrice(offer, exists, terms);
    if (best == nullptr || price < best_price) {
      best = &offer;
      best_price = price;
    }
  }
  return best;
}

}  // namespace

int64_t HostsNeeded(const host_demand& demand, const host_policy& policy,
                    const host_terms& terms) {
  double concurrent = 0;
  for (const double of_rank : demand.concurrent) {
    concurrent += of_rank;
  }
  return std::clamp(HostsFor(concurrent, terms),
                    std::min(policy.min_hosts, policy.max_hosts),
                    policy.max_hosts);
}

int64_t UrgentHostsNeeded(const host_demand& demand, const host_terms& terms) {
  return HostsFor(demand.concurrent[IndexOf(rank::kUrgent)], terms);
}

offer_counts PlanMix(const host_question& question, const host_terms& terms) {
  offer_counts mix;
  double spent = 0;
  for (int64_t host = 0; host < question.target; ++host) {
    const priced_offer* best = BestOffer(question, terms, mix, spent);
    if (best == nullptr) {
      break;
    }
    ++mix[best->offer];
    spent += best->price_per_hour;
  }
  return mix;
}

int64_t host_target::Update(int64_t needed, time_point now) {
  if (needed >= target_) {
    target_ = needed;
    lower_since_.reset();
    return target_;
  }
  if (!lower_since_) {
    lower_since_ = now;
    most_since_ = needed;
  }
  most_since_ = std::max(most_since_, needed);
  if (now >= *lower_since_ + terms_.release_after) {
    target_ = most_since_;
    lower_since_.reset();
  }
  return target_;
}

host_changes ChangesTo(const offer_counts& wanted, const offer_counts& existing,
                       const offer_counts& running, int64_t target) {
  host_changes changes;
  for (const auto& [offer, count] : wanted) {
    const int64_t missing = count - CountOf(existing, offer);
    if (missing > 0) {
      changes.start[offer] = missing;
    }
  }
  int64_t spare = Total(running) - std::min(target, Total(wanted));
  for (const auto& [offer, count] : existing) {
    const int64_t surplus = count - CountOf(wanted, offer);
    const int64_t drained = std::min({surplus, spare, CountOf(running, offer)});
    if (drained > 0) {
      changes.drain[offer] = drained;
      spare -= drained;
    }
  }
  return changes;
}

}  // namespace skylarkcroft
