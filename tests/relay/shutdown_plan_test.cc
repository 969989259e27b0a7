#include <catch2/catch.hpp>

#include "skylarkcroft/relay/skylarkcroft_shutdown_plan.h"

namespace skylarkcroft {

// Guards against a node with a short grace period that takes requests until it
// cuts them.
TEST_CASE("Requests are refused early enough for each grace period",
          "[relay][planned_stop][regression]") {
  const int grace_ms = GENERATE(1, 100, 1000, 2000, 4000, 8000, 30000);
  const milliseconds grace{grace_ms};
  const shutdown_plan plan = MakeShutdownPlan(grace);
  CHECK(plan.close_idle_after <= plan.reject_new_after);
  // Half of the time is left to those that were taken last.
  CHECK(2 * plan.reject_new_after <= plan.limit + milliseconds(1));
  CHECK(plan.limit <= plan.exit);
  CHECK(plan.exit <= grace);
  CHECK(plan.limit >= milliseconds(0));
}

TEST_CASE("The steps of a shutdown follow from the grace period",
          "[relay][planned_stop]") {
  using ms = milliseconds;
  CHECK(MakeShutdownPlan(ms(8000)) ==
        shutdown_plan{ms(2500), ms(2800), ms(7600), ms(7800)});
  CHECK(MakeShutdownPlan(ms(2000)) ==
        shutdown_plan{ms(625), ms(700), ms(1600), ms(1800)});
  CHECK(MakeShutdownPlan(ms(30000)) ==
        shutdown_plan{ms(2500), ms(2800), ms(29600), ms(29800)});
}

}  // namespace skylarkcroft
