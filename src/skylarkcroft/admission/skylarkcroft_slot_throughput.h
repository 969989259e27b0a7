#ifndef SKYLARKCROFT_ADMISSION_SKYLARKCROFT_SLOT_RATE_H_
#define SKYLARKCROFT_ADMISSION_SKYLARKCROFT_SLOT_RATE_H_

#include <cstdint>
#include <optional>

#include "skylarkcroft/internal/skylarkcroft_time.h"

namespace skylarkcroft {

/// Measured speed of a pool: tokens a second that one slot serves, as an
/// exponentially weighted mean over the requests that ended.
class slot_rate {
 public:
  /// Notes a request that held a slot for `held` and cost `tokens`.
  void Note(int64_t tokens, duration held);
  /// Empty until the first request has ended.
  [[nodiscard]] std::optional<double> tokens_per_s() const {
    return tokens_per_s_;
  }
  /// Time in which `slots` slots serve `tokens`; zero when nothing is measured.
  [[nodiscard]] duration TimeFor(double tokens, double slots) const;

 private:
  std::optional<double> tokens_per_s_;
};

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_ADMISSION_SKYLARKCROFT_SLOT_RATE_H_
