#ifndef SKYLARKCROFT_ATTEMPT_SKYLARKCROFT_RECENT_LATENCY_H_
#define SKYLARKCROFT_ATTEMPT_SKYLARKCROFT_RECENT_LATENCY_H_

#include <cstddef>
#include <optional>
#include <vector>

#include "skylarkcroft/internal/skylarkcroft_time.h"

namespace skylarkcroft {

/// The latest samples of a latency, for a quantile that follows changes.
class recent_latency {
 public:
  void Record(duration sample);
  /// The sample below which a share `q` (0 to 1) of the latest ones lies; empty
  /// until there are enough of them.
  [[nodiscard]] std::optional<duration> Quantile(double q) const;

 private:
  std::vector<duration> samples_;
  /// Place of the next sample once the vector is full.
  size_t next_ = 0;
};

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_ATTEMPT_SKYLARKCROFT_RECENT_LATENCY_H_
