#ifndef SKYLARKCROFT_RELAY_SKYLARKCROFT_SHUTDOWN_PLAN_H_
#define SKYLARKCROFT_RELAY_SKYLARKCROFT_SHUTDOWN_PLAN_H_

#include "skylarkcroft/internal/skylarkcroft_time.h"

namespace skylarkcroft {

/// The steps of a shutdown, as times after its request.
struct shutdown_plan {
  milliseconds close_idle_after{0};  ///< Idle clients are closed.
  milliseconds reject_new_after{0};  ///< New requests are refused.
  milliseconds limit{0};             ///< What is still at work is ended.
  milliseconds exit{0};              ///< The process ends at the latest.

  bool operator==(const shutdown_plan&) const = default;
};

/// The plan for a process that is killed `grace_period` after the request.
shutdown_plan MakeShutdownPlan(milliseconds grace_period);

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_RELAY_SKYLARKCROFT_SHUTDOWN_PLAN_H_
