#ifndef SKYLARKCROFT_STANDINS_COMMON_LAGGED_VALUE_H_
#define SKYLARKCROFT_STANDINS_COMMON_LAGGED_VALUE_H_

#include <deque>
#include <utility>

#include "skylarkcroft/internal/skylarkcroft_time.h"

namespace skylarkcroft::standin {

/// Shows samples of a value a fixed time after they were taken.
template <typename value_type>
class lagged_value {
 public:
  lagged_value(milliseconds lag, value_type first, time_point now) : lag_(lag) {
    samples_.push_back({now, std::move(first)});
  }

  void Record(value_type sample, time_point now) {
    samples_.push_back({now, std::move(sample)});
    while (samples_.size() > 1 && samples_[1].taken + lag_ <= now) {
      samples_.pop_front();
    }
  }

  /// The latest sample that is at least the lag old, else the oldest one.
  [[nodiscard]] const value_type& At(time_point now) const {
    const sample_entry* shown = &samples_.front();
    for (const sample_entry& sample : samples_) {
      if (sample.taken + lag_ > now) {
        break;
      }
      shown = &sample;
    }
    return shown->value;
  }

 private:
  struct sample_entry {
    time_point taken;
    value_type value;
  };

  milliseconds lag_;
  std::deque<sample_entry> samples_;
};

}  // namespace skylarkcroft::standin

#endif  // SKYLARKCROFT_STANDINS_COMMON_LAGGED_VALUE_H_
