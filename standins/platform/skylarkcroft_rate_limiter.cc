#include "standins/platform/skylarkcroft_rate_limiter.h"

#include <algorithm>

namespace skylarkcroft::standin {

using seconds_f = std::chrono::duration<double>;

bool rate_limiter::Take(time_point now) {
  if (calls_per_s_ <= 0) {
    return true;
  }
  const double burst = std::max(1.0, calls_per_s_);
  if (last_.has_value()) {
    const double elapsed_s = seconds_f(now - *last_).count();
    available_ = std::min(burst, available_ + elapsed_s * calls_per_s_);
  } else {
    available_ = burst;
  }
  last_ = now;
  if (available_ < 1) {
    return false;
  }
  available_ -= 1;
  return true;
}

duration rate_limiter::UntilNext() const {
  if (calls_per_s_ <= 0 || available_ >= 1) {
    return duration::zero();
  }
  return std::chrono::duration_cast<duration>(
      seconds_f((1 - available_) / calls_per_s_));
}

}  // namespace skylarkcroft::standin
