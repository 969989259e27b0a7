#include <algorithm>
#include <catch2/catch.hpp>

#include "load/skylarkcroft_restore_model.h"

namespace skylarkcroft::load {
namespace {

// What the platform allows at the size of the small deployments, and from 60
// nodes on.
constexpr size_t kReadsPerSecond = 2000;
constexpr size_t kReadsPerSecondGrown = 6000;
// Time within which nodes act on a change of the tables.
constexpr milliseconds kApplyDeadline{2000};

}  // namespace

// Guards against a fleet that exceeds the store's rate when it comes back, and
// against nodes that serve outdated tables past the time to apply a change.
TEST_CASE("All nodes are current in time after a restore, at half of the rate",
          "[load][scale][model][restored]") {
  restore_model_parameters parameters;
  parameters.nodes = GENERATE(7U, 63U, 195U, 347U);
  parameters.outage = milliseconds(GENERATE(500, 2000));
  const size_t rate =
      parameters.nodes < 60 ? kReadsPerSecond : kReadsPerSecondGrown;
  for (uint64_t seed = 1; seed <= 20; ++seed) {
    parameters.seed = seed;
    const restore_cost cost =
        PlayRestore(restore_design::kToldSpread, parameters);
    INFO(parameters.nodes << " nodes, outage of " << parameters.outage.count()
                          << " ms, seed " << seed << ": "
                          << cost.calls_in_first_second
                          << " calls in the first second, at most "
                          << cost.most_calls_in_100_ms
                          << " in 100 ms, current after "
                          << cost.median_delay.count() << " ms, the last after "
                          << cost.longest_delay.count() << " ms");
    CHECK(cost.calls_in_first_second <= rate / 2);
    CHECK(cost.most_calls_in_100_ms <= rate / 10);
    CHECK(cost.longest_delay <= kApplyDeadline);
  }
}

TEST_CASE("Reads at once exceed the store's rate at hundreds of nodes",
          "[load][scale][model][restored]") {
  restore_model_parameters parameters;
  parameters.nodes = 347;
  parameters.outage = milliseconds(500);
  CHECK(PlayRestore(restore_design::kToldAtOnce, parameters)
            .most_calls_in_100_ms > kReadsPerSecondGrown / 10);
}

TEST_CASE("The same seed gives the same cost of a restore",
          "[load][model][restored]") {
  restore_model_parameters parameters;
  parameters.nodes = 63;
  CHECK(PlayRestore(restore_design::kToldSpread, parameters) ==
        PlayRestore(restore_design::kToldSpread, parameters));
}

}  // namespace skylarkcroft::load
