#ifndef SKYLARKCROFT_ADMISSION_SKYLARKCROFT_SLOT_THROUGHPUT_H_
#define SKYLARKCROFT_ADMISSION_SKYLARKCROFT_SLOT_THROUGHPUT_H_

#include <cstdint>
#include <optional>

#include "skylarkcroft/internal/skylarkcroft_time.h"

namespace skylarkcroft {

/// Throughput of one slot of a pool, in tokens per second: an exponentially
/// weighted mean over the completed requests.
class slot_throughput {
 public:
  /// Records a completed request that occupied a slot for `slot_time` and used
  /// `tokens`.
  void Record(int64_t tokens, duration slot_time);
  /// Empty until the first request has completed.
  [[nodiscard]] std::optional<double> tokens_per_s() const {
    return tokens_per_s_;
  }
  /// Time that `slots` slots need for `tokens`; zero until the first request
  /// has completed.
  [[nodiscard]] duration EstimateTime(double tokens, double slots) const;

 private:
  std::optional<double> tokens_per_s_;
};

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_ADMISSION_SKYLARKCROFT_SLOT_THROUGHPUT_H_
