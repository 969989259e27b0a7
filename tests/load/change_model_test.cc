#include <catch2/catch.hpp>

#include "load/skylarkcroft_change_model.h"

namespace skylarkcroft::load {

TEST_CASE("Store calls for a change do not grow with the nodes",
          "[load][scale][model]") {
  const size_t nodes = GENERATE(7U, 63U, 195U, 347U);
  change_model_parameters parameters;
  parameters.nodes = nodes;
  parameters.lost_share = 0.02;
  for (uint64_t seed = 1; seed <= 20; ++seed) {
    parameters.seed = seed;
    const change_cost cost =
        PlayChange(change_design::kWatchersSend, parameters);
    INFO(nodes << " nodes, seed " << seed);
    CHECK(cost.store_calls <= 5);
    CHECK(PlayChange(change_design::kEachReads, parameters).store_calls ==
          nodes);
  }
}

TEST_CASE("A lost change is known within the time to drain",
          "[load][scale][model]") {
  constexpr milliseconds kDrain{2000};
  change_model_parameters parameters;
  parameters.nodes = GENERATE(7U, 63U, 195U);
  parameters.lost_share = 1;
  CHECK(PlayChange(change_design::kWatchersSend, parameters).longest_delay <
        kDrain);
}

TEST_CASE("The same seed gives the same cost", "[load][model]") {
  change_model_parameters parameters;
  parameters.nodes = 63;
  CHECK(PlayChange(change_design::kGossip, parameters) ==
        PlayChange(change_design::kGossip, parameters));
}

}  // namespace skylarkcroft::load
