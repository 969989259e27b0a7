#include "tests/quarantine/quarantine_fleet.h"

#include <catch2/catch.hpp>
#include <cstdint>

namespace skylarkcroft {
namespace {

// Bound of the operators: requests with the part that may still be sent later
// than 3 s after its fifth crash.
constexpr int kMaxSentAfterBound = 3;
// Half of the sound requests must go on; far fewer are rejected by mistake.
constexpr double kMaxRejectedShare = 0.005;

fleet_scenario Scenario(size_t nodes) {
  fleet_scenario scenario;
  scenario.nodes = nodes;
  scenario.upstreams = nodes < 10 ? 20 : 120;
  scenario.requests_per_second = nodes < 10 ? 160 : 800;
  return scenario;
}

void CheckSoundRequestsGoOn(const fleet_outcome& outcome) {
  CHECK(outcome.sound_rejected <=
        kMaxRejectedShare * outcome.sound_requests + 1);
  CHECK(outcome.sound_rejected_late <=
        kMaxRejectedShare * outcome.sound_late + 1);
}

}  // namespace

// Guards against a part of prompts that crashes one upstream after the other.
TEST_CASE("A part that crashes upstreams is kept from them by all nodes",
          "[quarantine][scale]") {
  const size_t nodes = GENERATE(7, 63, 195, 347);
  const size_t position = GENERATE(0, 1, 2);
  const uint32_t seed = GENERATE(1, 2, 3);
  CAPTURE(nodes, position, seed);
  fleet_scenario scenario = Scenario(nodes);
  scenario.crashing_position = position;
  scenario.seed = seed;
  quarantine_fleet fleet(scenario);
  const fleet_outcome outcome = fleet.Run();
  CHECK(outcome.crashes_by_part >= 3);
  CHECK(outcome.sent_after_bound <= kMaxSentAfterBound);
  CHECK(fleet.IsQuarantinedEverywhere());
  CHECK(outcome.false_quarantines == 0);
  CheckSoundRequestsGoOn(outcome);
}

TEST_CASE("The part is found while no node knows which parts are sound",
          "[quarantine][scale][start]") {
  const size_t nodes = GENERATE(7, 63, 195, 347);
  const size_t position = GENERATE(0, 1, 2);
  CAPTURE(nodes, position);
  fleet_scenario scenario = Scenario(nodes);
  scenario.crashing_position = position;
  scenario.crashing_from = milliseconds(0);
  scenario.length = milliseconds(15000);
  quarantine_fleet fleet(scenario);
  const fleet_outcome outcome = fleet.Run();
  CHECK(outcome.sent_after_bound <= kMaxSentAfterBound);
  CHECK(fleet.IsQuarantinedEverywhere());
  CHECK(outcome.false_quarantines == 0);
  CheckSoundRequestsGoOn(outcome);
}

TEST_CASE("A part that comes seldom is kept from the upstreams",
          "[quarantine][scale]") {
  const size_t nodes = GENERATE(7, 195);
  const uint32_t seed = GENERATE(1, 2, 3, 4);
  CAPTURE(nodes, seed);
  fleet_scenario scenario = Scenario(nodes);
  scenario.crashing_share = 0.4 / scenario.requests_per_second;
  scenario.crashing_from = milliseconds(2000);
  scenario.length = milliseconds(60000);
  scenario.seed = seed;
  const fleet_outcome outcome = quarantine_fleet(scenario).Run();
  CHECK(outcome.sent_after_bound <= kMaxSentAfterBound);
  CHECK(outcome.false_quarantines == 0);
}

TEST_CASE("Nodes agree on the part although links lose a tenth of all",
          "[quarantine][scale][lossy]") {
  const size_t nodes = GENERATE(7, 63, 195, 347);
  CAPTURE(nodes);
  fleet_scenario scenario = Scenario(nodes);
  scenario.loss = 0.1;
  quarantine_fleet fleet(scenario);
  const fleet_outcome outcome = fleet.Run();
  CHECK(outcome.sent_after_bound <= kMaxSentAfterBound);
  CHECK(fleet.IsQuarantinedEverywhere());
  CHECK(outcome.false_quarantines == 0);
}

// Guards against rejecting sound requests after crashes of other causes.
TEST_CASE("Crashes of other causes quarantine no part",
          "[quarantine][scale][false_accusation]") {
  const size_t nodes = GENERATE(7, 63, 195, 347);
  const uint32_t seed = GENERATE(1, 2, 3);
  CAPTURE(nodes, seed);
  fleet_scenario scenario = Scenario(nodes);
  scenario.crashing_share = 0;
  scenario.seed = seed;
  SECTION("upstreams crash one after the other") {
    scenario.other_crashes_per_second = 3;
  }
  SECTION("a rack of upstreams crashes") {
    scenario.rack_loss_at = milliseconds(5000);
    scenario.rack_size = scenario.upstreams / 2;
  }
  SECTION("a rack of upstreams crashes just after all nodes started") {
    scenario.rack_loss_at = milliseconds(300);
    scenario.rack_size = scenario.upstreams / 2;
  }
  SECTION("responses break off at their start") { scenario.broken_share = 0.1; }
  quarantine_fleet fleet(scenario);
  const fleet_outcome outcome = fleet.Run();
  CHECK(outcome.false_quarantines == 0);
  CHECK(outcome.sound_rejected <=
        kMaxRejectedShare * outcome.sound_requests + 1);
  CHECK(fleet.QuarantineCount() == 0);
}

TEST_CASE("The part is found among crashes of other causes",
          "[quarantine][scale][false_accusation]") {
  const size_t nodes = GENERATE(7, 63, 195, 347);
  CAPTURE(nodes);
  fleet_scenario scenario = Scenario(nodes);
  scenario.other_crashes_per_second = 2;
  scenario.broken_share = 0.02;
  quarantine_fleet fleet(scenario);
  const fleet_outcome outcome = fleet.Run();
  CHECK(outcome.sent_after_bound <= kMaxSentAfterBound);
  CHECK(fleet.IsQuarantinedEverywhere());
  CheckSoundRequestsGoOn(outcome);
}

}  // namespace skylarkcroft
