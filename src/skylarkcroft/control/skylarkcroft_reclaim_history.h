#ifndef SKYLARKCROFT_CONTROL_SKYLARKCROFT_RECLAIM_HISTORY_H_
#define SKYLARKCROFT_CONTROL_SKYLARKCROFT_RECLAIM_HISTORY_H_

#include <map>

#include "skylarkcroft/control/skylarkcroft_host_offer.h"
#include "skylarkcroft/internal/skylarkcroft_time.h"

namespace skylarkcroft {

/// Estimates reclaim rates by offer from observed reclaims. The weight of an
/// observation halves every kHalfLife.
class reclaim_history {
 public:
  /// Records that `hosts` hosts of the offer ran for `time` until `now`, and
  /// that `reclaims` of them were reclaimed.
  void Record(const host_offer& offer, double hosts, duration time,
              double reclaims, time_point now);

  /// Expected reclaims per hour of one host; 0 for on-demand hosts.
  [[nodiscard]] double ReclaimsPerHour(const host_offer& offer,
                                       time_point now) const;

  static constexpr std::chrono::hours kHalfLife{4};

 private:
  struct tally {
    double reclaims = 0;
    double host_hours = 0;
    time_point updated_at{};
  };
  static tally Decayed(const tally& earlier, time_point now);

  std::map<host_offer, tally> tallies_;
};

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_CONTROL_SKYLARKCROFT_RECLAIM_HISTORY_H_
