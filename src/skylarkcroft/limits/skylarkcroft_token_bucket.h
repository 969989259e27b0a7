#ifndef SKYLARKCROFT_LIMITS_SKYLARKCROFT_TOKEN_BUCKET_H_
#define SKYLARKCROFT_LIMITS_SKYLARKCROFT_TOKEN_BUCKET_H_

#include <algorithm>
#include <optional>

#include "skylarkcroft/internal/skylarkcroft_time.h"

namespace skylarkcroft {

/// Token bucket with a burst of 0.25 s. Starts empty. Taking an amount may make
/// the level negative; the next amount can be taken once the bucket has
/// refilled.
class token_bucket {
 public:
  /// Refills at the old rate up to `now` and at `per_second` from then on.
  void SetRate(double per_second, time_point now) {
    Refill(now);
    rate_ = per_second;
  }

  /// Whether an amount of any size may be taken at `now`.
  bool CanTake(time_point now) {
    Refill(now);
    return level_ >= kMinLevel;
  }
  void Take(double amount) { level_ -= amount; }

  /// Time until CanTake() returns true at the present rate; empty when the rate
  /// is 0.
  [[nodiscard]] std::optional<duration> TimeUntilAvailable() const {
    if (rate_ <= 0) {
      return std::nullopt;
    }
    const double seconds = std::max(0.0, (kMinLevel - level_) / rate_);
    return std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(seconds));
  }

 private:
  static constexpr double kMinLevel = 1;
  static constexpr double kBurstSeconds = 0.25;

  void Refill(time_point now) {
    const double elapsed =
        std::chrono::duration<double>(now - last_update_.value_or(now)).count();
    last_update_ = now;
    const double burst = std::max(kMinLevel, rate_ * kBurstSeconds);
    level_ = std::min(burst, level_ + elapsed * rate_);
  }

  double rate_ = 0;
  double level_ = 0;
  std::optional<time_point> last_update_;
};

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_LIMITS_SKYLARKCROFT_TOKEN_BUCKET_H_
