#include "skylarkcroft/limits/skylarkcroft_unreported_grants.h"

#include <algorithm>
#include <cmath>
#include <numbers>

namespace skylarkcroft {

void unreported_grants::Add(double amount, milliseconds report_period,
                            time_point now) {
  excess_ = Excess(report_period, now) + amount;
  updated_ = now;
  average_.Add(amount, now);
}

double unreported_grants::Excess(milliseconds report_period,
                                 time_point now) const {
  if (excess_ <= 0) {
    return 0;
  }
  // Regular reports tell the peers one after the other during a period.
  const std::chrono::duration<double> elapsed = now - updated_;
  const std::chrono::duration<double> period = report_period;
  return std::max(0.0, excess_ * std::exp(-(elapsed / period)) -
                           ExpectedRate(now) * elapsed.count());
}

double unreported_grants::ExpectedRate(time_point now) const {
  constexpr double kHalfLifeSeconds =
      std::chrono::duration<double>(kAverageHalfLife).count();
  return average_.Value(now) * std::numbers::ln2 / kHalfLifeSeconds;
}

}  // namespace skylarkcroft
