#ifndef SKYLARKCROFT_ATTEMPT_SKYLARKCROFT_RECENT_LATENCY_H_
#define SKYLARKCROFT_ATTEMPT_SKYLARKCROFT_RECENT_LATENCY_H_

#include <cstddef>
#include <optional>
#include <vector>

#include "skylarkcroft/internal/skylarkcroft_time.h"

namespace skylarkcroft {

/// Keeps the latest 256 samples of a latency and computes their quantiles.
class recent_latency {
 public:
  void Record(duration sample);
  /// The quantile `q` (0 to 1) of the kept samples; empty with fewer than 40.
  [[nodiscard]] std::optional<duration> Quantile(double q) const;

 private:
  std::vector<duration> samples_;
  /// Index of the oldest sample, which the next one replaces when full.
  size_t next_ = 0;
};

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_ATTEMPT_SKYLARKCROFT_RECENT_LATENCY_H_
