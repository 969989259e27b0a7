#ifndef SKYLARKCROFT_LOG_SKYLARKCROFT_LOG_BOUND_H_
#define SKYLARKCROFT_LOG_SKYLARKCROFT_LOG_BOUND_H_

#include <algorithm>

#include "skylarkcroft/internal/skylarkcroft_time.h"

namespace skylarkcroft {

/// Bounds the lines a process writes in a second, so that a flood of requests
/// does not spend its processor time on the log.
class log_bound {
 public:
  /// Whether a line may be written now.
  bool Allow(time_point now) {
    const double elapsed =
        std::chrono::duration<double>(now - updated_).count();
    level_ = std::min(kBurst, level_ + elapsed * kLinesPerSecond);
    updated_ = now;
    if (level_ < 1) {
      return false;
    }
    level_ -= 1;
    return true;
  }

 private:
  // Above the requests of a node on a busy day, so that a usual day is logged
  // whole.
  static constexpr double kLinesPerSecond = 200;
  static constexpr double kBurst = 600;

  double level_ = kBurst;
  time_point updated_{};
};

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_LOG_SKYLARKCROFT_LOG_BOUND_H_
