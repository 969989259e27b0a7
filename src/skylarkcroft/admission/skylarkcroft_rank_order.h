#ifndef SKYLARKCROFT_ADMISSION_SKYLARKCROFT_RANK_ORDER_H_
#define SKYLARKCROFT_ADMISSION_SKYLARKCROFT_RANK_ORDER_H_

#include <array>
#include <cstdint>
#include <optional>

#include "skylarkcroft/tables/skylarkcroft_rank.h"

namespace skylarkcroft {

/// Where a rank stands in a pool.
struct rank_standing {
  int64_t running = 0;
  int64_t queued = 0;
  /// Its guaranteed share of the slots; not a whole number.
  double guaranteed_slots = 0;
  /// Tokens started so far divided by the guaranteed share.
  double served = 0;

  bool operator==(const rank_standing&) const = default;
};

using rank_standings = std::array<rank_standing, kRankCount>;

/// The rank that gets the next free slot; empty when none waits. Whole
/// guaranteed slots come first, the more urgent rank before the less urgent;
/// then the fractions of slots, in turns over time; then idle slots are lent,
/// by urgency.
std::optional<rank> NextRank(const rank_standings& ranks);

/// True when a running request of `holder` may make room for one of `taker`:
/// the taker is below its guaranteed share, the holder above, and the swap
/// brings the two nearer to each other, so it cannot be followed by its
/// reverse.
bool MayTakeFrom(const rank_standing& taker, const rank_standing& holder);

/// Slots that a further request of `asking` can count on while the others have
/// the demand they have now; never more than `capacity`.
double SlotsFor(rank asking, const rank_standings& ranks, int64_t capacity);

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_ADMISSION_SKYLARKCROFT_RANK_ORDER_H_
