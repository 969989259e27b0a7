#ifndef SKYLARKCROFT_ADMISSION_SKYLARKCROFT_RANK_ORDER_H_
#define SKYLARKCROFT_ADMISSION_SKYLARKCROFT_RANK_ORDER_H_

#include <array>
#include <cstdint>
#include <optional>

#include "skylarkcroft/tables/skylarkcroft_rank.h"

namespace skylarkcroft {

/// Demand and guaranteed share of one rank in a pool.
struct rank_load {
  int64_t running = 0;
  int64_t queued = 0;
  /// Guaranteed share of the pool's slots; not a whole number in general.
  double guaranteed_slots = 0;
  /// Estimated tokens of the requests started so far, divided by the guaranteed
  /// share.
  double served_tokens_per_share = 0;

  bool operator==(const rank_load&) const = default;
};

using rank_loads = std::array<rank_load, kRankCount>;

/// The rank that gets the next free slot; empty when nothing is queued. Whole
/// guaranteed slots come first, the more urgent rank first. Then come the
/// fractions of guaranteed slots: the rank that was served least for its share
/// gets the slot, so that they alternate over time. Slots that remain are lent
/// to the most urgent rank with queued requests.
std::optional<rank> NextRank(const rank_loads& ranks);

/// True when a running request of `victim` may be preempted for one of
/// `preemptor`: the preemptor is below its guaranteed share, the victim is
/// above its own, and the exchange brings their use of slots, relative to their
/// shares, closer together, so that the reverse preemption cannot follow.
bool CanPreempt(const rank_load& preemptor, const rank_load& victim);

/// Slots that another request of `requester` can rely on, given the current
/// demand of the other ranks; at most `capacity`.
double SlotsAvailableTo(rank requester, const rank_loads& ranks,
                        int64_t capacity);

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_ADMISSION_SKYLARKCROFT_RANK_ORDER_H_
