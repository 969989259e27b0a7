#include "skylarkcroft/control/skylarkcroft_reclaim_history.h"

#include <algorithm>
#include <cmath>

namespace skylarkcroft {
namespace {

// Assumed prior to any observation: one reclaim in 20 host-hours.
constexpr double kPriorReclaims = 1;
constexpr double kPriorHostHours = 20;

double Hours(duration time) {
  return std::chrono::duration<double, std::ratio<3600>>(time).count();
}

}  // namespace

reclaim_history::tally reclaim_history::Decayed(const tally& earlier,
                                                time_point now) {
  const double half_lives = Hours(now - earlier.updated_at) / Hours(kHalfLife);
  const double share = std::exp2(-std::max(0.0, half_lives));
  return {earlier.reclaims * share, earlier.host_hours * share, now};
}

void reclaim_history::Record(const host_offer& offer, double hosts,
                             duration time, double reclaims, time_point now) {
  tally& entry = tallies_.try_emplace(offer, tally{0, 0, now}).first->second;
  entry = Decayed(entry, now);
  entry.reclaims += reclaims;
  entry.host_hours += hosts * Hours(time);
}

double reclaim_history::ReclaimsPerHour(const host_offer& offer,
                                        time_point now) const {
  if (!offer.reclaimable) {
    return 0;
  }
  const auto found = tallies_.find(offer);
  const tally known =
      found == tallies_.end() ? tally{} : Decayed(found->second, now);
  return (kPriorReclaims + known.reclaims) /
         (kPriorHostHours + known.host_hours);
}

}  // namespace skylarkcroft
