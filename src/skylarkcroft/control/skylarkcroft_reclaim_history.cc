#include "skylarkcroft/control/skylarkcroft_reclaim_history.h"

#include <algorithm>
#include <cmath>

namespace skylarkcroft {
namespace {

// What is assumed before anything was observed: one reclaim in 20 host-hours.
constexpr double kAssumedReclaims = 1;
constexpr double kAssumedHostHours = 20;

double Hours(duration time) {
  return std::chrono::duration<double, std::ratio<3600>>(time).count();
}

}  // namespace

reclaim_history::tally reclaim_history::Faded(const tally& past,
                                              time_point now) {
  const double halvings = Hours(now - past.as_of) / Hours(kHalfLife);
  const double share = std::exp2(-std::max(0.0, halvings));
  return {past.reclaims * share, past.host_hours * share, now};
}

void reclaim_history::Note(const host_offer& offer, double hosts, duration time,
                           double reclaims, time_point now) {
  tally& noted = tallies_.try_emplace(offer, tally{0, 0, now}).first->second;
  noted = Faded(noted, now);
  noted.reclaims += reclaims;
  noted.host_hours += hosts * Hours(time);
}

double reclaim_history::ReclaimsPerHour(const host_offer& offer,
                                        time_point now) const {
  if (!offer.reclaimable) {
    return 0;
  }
  const auto found = tallies_.find(offer);
  const tally known =
      found == tallies_.end() ? tally{} : Faded(found->second, now);
  return (kAssumedReclaims + known.reclaims) /
         (kAssumedHostHours + known.host_hours);
}

}  // namespace skylarkcroft
