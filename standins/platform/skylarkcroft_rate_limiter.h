#ifndef STANDINS_PLATFORM_SKYLARKCROFT_RATE_LIMITER_H_
#define STANDINS_PLATFORM_SKYLARKCROFT_RATE_LIMITER_H_

#include <optional>

#include "skylarkcroft/internal/skylarkcroft_time.h"

namespace skylarkcroft::standin {

/// Token bucket that holds at most one second's worth of calls, and at least
/// one call.
class rate_limiter {
 public:
  /// Zero is no limit.
  explicit rate_limiter(double calls_per_s) : calls_per_s_(calls_per_s) {}

  /// True when a call at `now` is within the rate; it is then counted.
  bool Take(time_point now);
  /// Time from the last Take() until one more call is within the rate.
  [[nodiscard]] duration UntilNext() const;

 private:
  double calls_per_s_;
  double available_ = 0;
  std::optional<time_point> last_;
};

}  // namespace skylarkcroft::standin

#endif  // STANDINS_PLATFORM_SKYLARKCROFT_RATE_LIMITER_H_
