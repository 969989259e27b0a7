#ifndef SKYLARKCROFT_STORE_SKYLARKCROFT_ANSWER_TIME_H_
#define SKYLARKCROFT_STORE_SKYLARKCROFT_ANSWER_TIME_H_

#include <optional>

#include "skylarkcroft/internal/skylarkcroft_time.h"

namespace skylarkcroft {

/// Tells when the store gave an answer, on this process's clock. An answer may
/// have waited at the store before it was given and on the way after; the
/// store's own clock tells the two apart.
class answer_time {
 public:
  /// The earliest instant at which the answer can have been given, for a call
  /// sent at `sent_at` and answered at `received_at`. `store_clock` is the
  /// store's monotonic clock at the answer, where it is stated.
  time_point EarliestAnswer(time_point sent_at,
                            std::optional<milliseconds> store_clock,
                            time_point received_at);

  /// An instant on this process's clock at or before the one at which the
  /// store's clock showed `store_clock`, as another process read it. Empty
  /// where this process has not read that clock.
  [[nodiscard]] std::optional<time_point> OnOwnClock(milliseconds store_clock,
                                                     time_point now) const;

 private:
  /// This process's clock less the store's is at least this.
  std::optional<duration> least_offset_;
  milliseconds last_store_clock_{0};
  time_point last_received_{};
};

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_STORE_SKYLARKCROFT_ANSWER_TIME_H_
