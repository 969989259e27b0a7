#ifndef SKYLARKCROFT_LIMITS_SKYLARKCROFT_UNREPORTED_GRANTS_H_
#define SKYLARKCROFT_LIMITS_SKYLARKCROFT_UNREPORTED_GRANTS_H_

#include "skylarkcroft/internal/skylarkcroft_time.h"
#include "skylarkcroft/placement/skylarkcroft_decaying_sum.h"

namespace skylarkcroft {

/// Tokens of one workspace that this node granted and that its peers neither
/// know from a report nor expect from the node's average.
class unreported_grants {
 public:
  void Add(double amount, milliseconds report_period, time_point now);
  /// All peers have been told.
  void Clear() { excess_ = 0; }

  [[nodiscard]] double Excess(milliseconds report_period, time_point now) const;
  /// The average that peers expect, in tokens a second.
  [[nodiscard]] double ExpectedRate(time_point now) const;

 private:
  // Long, so that a jump of the demand counts as unexpected for seconds.
  static constexpr milliseconds kAverageHalfLife{3000};

  double excess_ = 0;
  time_point updated_{};
  decaying_sum average_{kAverageHalfLife};
};

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_LIMITS_SKYLARKCROFT_UNREPORTED_GRANTS_H_
