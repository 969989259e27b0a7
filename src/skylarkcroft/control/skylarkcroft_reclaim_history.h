#ifndef SKYLARKCROFT_CONTROL_SKYLARKCROFT_RECLAIM_HISTORY_H_
#define SKYLARKCROFT_CONTROL_SKYLARKCROFT_RECLAIM_HISTORY_H_

#include <map>

#include "skylarkcroft/control/skylarkcroft_host_offer.h"
#include "skylarkcroft/internal/skylarkcroft_time.h"

namespace skylarkcroft {

/// Reclaims as they were observed, by offer. What is long past counts less and
/// less: it halves each kHalfLife.
class reclaim_history {
 public:
  /// `hosts` of the offer ran for `time` up to `now`, and `reclaims` of them
  /// were taken back.
  void Record(const host_offer& offer, double hosts, duration time,
              double reclaims, time_point now);

  /// Expected reclaims of one host an hour; 0 for on-demand.
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
