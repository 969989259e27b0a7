#include "skylarkcroft/admission/skylarkcroft_rank_order.h"

#include <algorithm>

namespace skylarkcroft {
namespace {

constexpr double kEpsilon = 1e-9;

double Running(const rank_load& load) {
  return static_cast<double>(load.running);
}

bool BelowGuarantee(const rank_load& load) {
  return Running(load) + kEpsilon < load.guaranteed_slots;
}

bool HasWholeGuaranteedSlotLeft(const rank_load& load) {
  return Running(load) + 1 <= load.guaranteed_slots + kEpsilon;
}

}  // namespace

std::optional<rank> NextRank(const rank_loads& ranks) {
  std::optional<rank> most_urgent;
  std::optional<rank> least_served;
  for (const rank value : kAllRanks) {
    const rank_load& load = ranks[IndexOf(value)];
    if (load.queued == 0) {
      continue;
    }
    if (HasWholeGuaranteedSlotLeft(load)) {
      return value;
    }
    most_urgent = most_urgent.value_or(value);
    if (BelowGuarantee(load) &&
        (!least_served ||
         load.served_tokens_per_share <
             ranks[IndexOf(*least_served)].served_tokens_per_share)) {
      least_served = value;
    }
  }
  return least_served ? least_served : most_urgent;
}

bool CanPreempt(const rank_load& preemptor, const rank_load& victim) {
  const bool victim_above_share =
      Running(victim) > victim.guaranteed_slots + kEpsilon;
  if (!BelowGuarantee(preemptor) || !victim_above_share) {
    return false;
  }
  // Compares products instead of quotients, since a guaranteed share may be
  // zero.
  return (Running(preemptor) + 1) * victim.guaranteed_slots <
         Running(victim) * preemptor.guaranteed_slots;
}

double SlotsAvailableTo(rank requester, const rank_loads& ranks,
                        int64_t capacity) {
  double remaining = static_cast<double>(capacity);
  for (const rank value : kAllRanks) {
    if (value == requester) {
      continue;
    }
    const rank_load& other = ranks[IndexOf(value)];
    const double demand = static_cast<double>(other.running + other.queued);
    const bool yields = value > requester;
    remaining -= yields ? std::min(demand, other.guaranteed_slots) : demand;
  }
  const double guaranteed = ranks[IndexOf(requester)].guaranteed_slots;
  return std::min(std::max(remaining, guaranteed),
                  static_cast<double>(capacity));
}

}  // namespace skylarkcroft
