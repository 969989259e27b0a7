#include "skylarkcroft/relay/skylarkcroft_shutdown_plan.h"

#include <algorithm>

namespace skylarkcroft {
namespace {

// Time in which clients and load balancers find another node.
constexpr milliseconds kMaxCloseIdleAfter{2500};
constexpr milliseconds kMaxRejectNewAfter{2800};
// Time kept to send the last answers and exit before the process is killed.
constexpr milliseconds kMaxExitMargin{400};
// Shares of a shorter grace period.
constexpr double kCloseIdleShare = 0.3125;
constexpr double kRejectNewShare = 0.35;
constexpr double kExitMarginShare = 0.2;

milliseconds Share(milliseconds grace_period, double share, milliseconds max) {
  return std::min(max, milliseconds(static_cast<milliseconds::rep>(
                           share * static_cast<double>(grace_period.count()))));
}

}  // namespace

shutdown_plan MakeShutdownPlan(milliseconds grace_period) {
  const milliseconds margin =
      Share(grace_period, kExitMarginShare, kMaxExitMargin);
  shutdown_plan plan;
  plan.close_idle_after =
      Share(grace_period, kCloseIdleShare, kMaxCloseIdleAfter);
  plan.reject_new_after =
      Share(grace_period, kRejectNewShare, kMaxRejectNewAfter);
  plan.limit = grace_period - margin;
  plan.exit = grace_period - margin / 2;
  return plan;
}

}  // namespace skylarkcroft
