#include "skylarkcroft/admission/skylarkcroft_rank_order.h"

#include <algorithm>

namespace skylarkcroft {
namespace {

constexpr double kSlack = 1e-9;

double Running(const rank_standing& standing) {
  return static_cast<double>(standing.running);
}

bool BelowGuarantee(const rank_standing& standing) {
  return Running(standing) + kSlack < standing.guaranteed_slots;
}

bool HasWholeSlotLeft(const rank_standing& standing) {
  return Running(standing) + 1 <= standing.guaranteed_slots + kSlack;
}

}  // namespace

std::optional<rank> NextRank(const rank_standings& ranks) {
  std::optional<rank> most_urgent;
  std::optional<rank> least_served;
  for (const rank value : kAllRanks) {
    const rank_standing& standing = ranks[IndexOf(value)];
    if (standing.queued == 0) {
      continue;
    }
    if (HasWholeSlotLeft(standing)) {
      return value;
    }
    most_urgent = most_urgent.value_or(value);
    if (BelowGuarantee(standing) &&
        (!least_served ||
         standing.served < ranks[IndexOf(*least_served)].served)) {
      least_served = value;
    }
  }
  return least_served ? least_served : most_urgent;
}

bool MayTakeFrom(const rank_standing& taker, const rank_standing& holder) {
  const bool holder_above = Running(holder) > holder.guaranteed_slots + kSlack;
  if (!BelowGuarantee(taker) || !holder_above) {
    return false;
  }
  // Compared as products, since a guaranteed share may be zero.
  return (Running(taker) + 1) * holder.guaranteed_slots <
         Running(holder) * taker.guaranteed_slots;
}

double SlotsFor(rank asking, const rank_standings& ranks, int64_t capacity) {
  double left = static_cast<double>(capacity);
  for (const rank value : kAllRanks) {
    if (value == asking) {
      continue;
    }
    const rank_standing& other = ranks[IndexOf(value)];
    const double demand = static_cast<double>(other.running + other.queued);
    const bool yields = value > asking;
    left -= yields ? std::min(demand, other.guaranteed_slots) : demand;
  }
  const double guaranteed = ranks[IndexOf(asking)].guaranteed_slots;
  return std::min(std::max(left, guaranteed), static_cast<double>(capacity));
}

}  // namespace skylarkcroft
