#ifndef SKYLARKCROFT_LIMITS_SKYLARKCROFT_TOKEN_BUCKET_H_
#define SKYLARKCROFT_LIMITS_SKYLARKCROFT_TOKEN_BUCKET_H_

#include <algorithm>
#include <optional>

#include "skylarkcroft/internal/skylarkcroft_time.h"

namespace skylarkcroft {

/// A rate limit with a short burst. Starts empty. The level may go below zero
/// by the last amount taken, which is then paid off before the next is given.
class token_bucket {
 public:
  /// Refills at the old rate up to `now`, then goes on at `per_second`.
  void SetRate(double per_second, time_point now) {
    Refill(now);
    rate_ = per_second;
  }

  /// Whether an amount may be taken.
  bool Open(time_point now) {
    Refill(now);
    return level_ >= kOpenLevel;
  }
  void Take(double amount) { level_ -= amount; }

  /// Time until Open() holds at the present rate; empty when it never does.
  [[nodiscard]] std::optional<duration> Wait() const {
    if (rate_ <= 0) {
      return std::nullopt;
    }
    const double seconds = std::max(0.0, (kOpenLevel - level_) / rate_);
    return std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(seconds));
  }

 private:
  static constexpr double kOpenLevel = 1;
  static constexpr double kBurstSeconds = 0.25;

  void Refill(time_point now) {
    const double elapsed =
        std::chrono::duration<double>(now - updated_.value_or(now)).count();
    updated_ = now;
    const double burst = std::max(kOpenLevel, rate_ * kBurstSeconds);
    level_ = std::min(burst, level_ + elapsed * rate_);
  }

  double rate_ = 0;
  double level_ = 0;
  std::optional<time_point> updated_;
};

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_LIMITS_SKYLARKCROFT_TOKEN_BUCKET_H_
