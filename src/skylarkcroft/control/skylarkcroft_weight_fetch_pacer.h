#ifndef SKYLARKCROFT_CONTROL_SKYLARKCROFT_WEIGHT_FETCH_PACER_H_
#define SKYLARKCROFT_CONTROL_SKYLARKCROFT_WEIGHT_FETCH_PACER_H_

#include "skylarkcroft/internal/skylarkcroft_time.h"

namespace skylarkcroft {

/// Bounds of the interval between two weight fetches of one pool.
struct weight_fetch_intervals {
  milliseconds min_interval{200};
  milliseconds max_interval{60000};

  bool operator==(const weight_fetch_intervals&) const = default;
};

/// Limits the rate of weight fetches of one pool. The holders of many pools
/// share the weight store's rate limit without coordination: each throttled
/// fetch doubles the interval of its pool, each successful one reduces it by a
/// tenth.
class weight_fetch_pacer {
 public:
  explicit weight_fetch_pacer(const weight_fetch_intervals& intervals);

  [[nodiscard]] bool MayStart(time_point now) const {
    return now >= next_start_;
  }
  void OnStarted(time_point now);
  void OnFetched();
  void OnThrottled(milliseconds retry_after, time_point now);

  [[nodiscard]] milliseconds interval() const { return interval_; }

 private:
  weight_fetch_intervals intervals_;
  milliseconds interval_;
  time_point next_start_{};
};

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_CONTROL_SKYLARKCROFT_WEIGHT_FETCH_PACER_H_
