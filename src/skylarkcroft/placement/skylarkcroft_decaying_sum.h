#ifndef SKYLARKCROFT_PLACEMENT_SKYLARKCROFT_DECAYING_SUM_H_
#define SKYLARKCROFT_PLACEMENT_SKYLARKCROFT_DECAYING_SUM_H_

#include <cmath>

#include "skylarkcroft/internal/skylarkcroft_time.h"

namespace skylarkcroft {

/// Exponentially decaying sum: what was added loses half_life of its weight
/// every `half_life`.
class decaying_sum {
 public:
  explicit decaying_sum(milliseconds half_life) : half_life_(half_life) {}

  void Add(double amount, time_point now) {
    value_ = Value(now) + amount;
    updated_at_ = now;
  }
  [[nodiscard]] double Value(time_point now) const {
    const std::chrono::duration<double> elapsed = now - updated_at_;
    const std::chrono::duration<double> half_life_s = half_life_;
    return value_ == 0 ? 0 : value_ * std::exp2(-(elapsed / half_life_s));
  }

 private:
  milliseconds half_life_;
  double value_ = 0;
  time_point updated_at_{};
};

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_PLACEMENT_SKYLARKCROFT_DECAYING_SUM_H_
