#ifndef SKYLARKCROFT_STORE_SKYLARKCROFT_STORE_CLOCK_MAPPING_H_
#define SKYLARKCROFT_STORE_SKYLARKCROFT_STORE_CLOCK_MAPPING_H_

#include <optional>

#include "skylarkcroft/internal/skylarkcroft_time.h"

namespace skylarkcroft {

/// Maps the store's monotonic clock to this process's clock, to determine when
/// the store gave a response. A call may have waited at the store before it was
/// answered, or its response may have been delayed on the way back; the store's
/// clock tells the two apart.
class store_clock_mapping {
 public:
  /// Earliest time, on this process's clock, at which the store can have given
  /// the response to a call sent at `sent_at` whose response arrived at
  /// `received_at`. `store_clock` is the store's monotonic clock at the
  /// response; without it the result is `sent_at`.
  time_point EarliestResponseTime(time_point sent_at,
                                  std::optional<milliseconds> store_clock,
                                  time_point received_at);

  /// A time on this process's clock at or before the moment at which the
  /// store's clock showed `store_clock`, as read by another process. Empty when
  /// this process has not read that clock.
  [[nodiscard]] std::optional<time_point> ToLocalTime(milliseconds store_clock,
                                                      time_point now) const;

 private:
  /// Lower bound of this process's clock minus the store's clock.
  std::optional<duration> offset_lower_bound_;
  milliseconds last_store_clock_{0};
  time_point last_received_at_{};
};

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_STORE_SKYLARKCROFT_STORE_CLOCK_MAPPING_H_
