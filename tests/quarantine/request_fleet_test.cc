#include "tests/quarantine/request_fleet.h"

#include <catch2/catch.hpp>
#include <chrono>
#include <cstdint>

namespace skylarkcroft {
namespace {

// Bound of the operators: sendings of a request that are still allowed later
// than 3 s after its third crash.
constexpr int kMaxSentLate = 3;
// Sound requests that may be rejected.
constexpr double kMaxRejectedShare = 0.0001;
// Crashes that can no longer be avoided: the counted ones.
constexpr int kCountedCrashes = 3;

request_fleet_scenario Scenario(size_t nodes) {
  request_fleet_scenario scenario;
  scenario.nodes = nodes;
  scenario.upstreams = nodes < 10 ? 20 : 120;
  scenario.requests_per_second = nodes < 10 ? 160 : 800;
  return scenario;
}

// One more than the share, since a run has only some thousands of requests.
void CheckSoundRequestsGoOn(const request_fleet_outcome& outcome) {
  REQUIRE(outcome.sound > 0);
  CHECK(outcome.sound_rejected <= kMaxRejectedShare * outcome.sound + 1);
  CHECK(outcome.alike_rejected <= kMaxRejectedShare * outcome.alike + 1);
}

}  // namespace

// Guards against a request that ends engine after engine at all nodes.
TEST_CASE("A request that crashes upstreams is kept from them by all nodes",
          "[quarantine][request][scale]") {
  const size_t nodes = GENERATE(7, 63, 195, 347);
  const deadly_moment moment =
      GENERATE(deadly_moment::kHead, deadly_moment::kFirstOutput,
               deadly_moment::kStream);
  CAPTURE(nodes, moment);
  request_fleet_scenario scenario = Scenario(nodes);
  scenario.moment = moment;
  request_fleet fleet(scenario);
  const request_fleet_outcome outcome = fleet.Run();
  CHECK(outcome.crashes >= kCountedCrashes);
  CHECK(outcome.sent_late == 0);
  CHECK(fleet.RejectingNodes() == nodes);
  CheckSoundRequestsGoOn(outcome);
}

TEST_CASE(
    "A request that comes seldom ends three upstreams and those of its "
    "sendings under way",
    "[quarantine][request][scale]") {
  const size_t nodes = GENERATE(7, 63, 195);
  const uint32_t seed = GENERATE(1, 2, 3);
  CAPTURE(nodes, seed);
  request_fleet_scenario scenario = Scenario(nodes);
  scenario.deadly_share = 0.4 / scenario.requests_per_second;
  scenario.moment = deadly_moment::kHead;
  scenario.length = milliseconds(40000);
  scenario.seed = seed;
  const request_fleet_outcome outcome = request_fleet(scenario).Run();
  // A repeat may be on its way when the third upstream crashes.
  CHECK(outcome.crashes <= kCountedCrashes + 1);
  CHECK(outcome.sent_late == 0);
}

TEST_CASE("A request is kept from upstreams from the first second on",
          "[quarantine][request][scale][start]") {
  const size_t nodes = GENERATE(7, 63, 195, 347);
  CAPTURE(nodes);
  request_fleet_scenario scenario = Scenario(nodes);
  scenario.deadly_times = {{milliseconds(0), milliseconds(60000)}};
  scenario.length = milliseconds(12000);
  request_fleet fleet(scenario);
  const request_fleet_outcome outcome = fleet.Run();
  CHECK(outcome.sent_late == 0);
  CHECK(fleet.RejectingNodes() == nodes);
  CheckSoundRequestsGoOn(outcome);
}

TEST_CASE("Nodes agree on the request although links lose a tenth of all",
          "[quarantine][request][scale][lossy]") {
  const size_t nodes = GENERATE(7, 63, 195, 347);
  CAPTURE(nodes);
  request_fleet_scenario scenario = Scenario(nodes);
  scenario.loss = 0.1;
  scenario.length = milliseconds(20000);
  request_fleet fleet(scenario);
  const request_fleet_outcome outcome = fleet.Run();
  CHECK(outcome.sent_late <= kMaxSentLate);
  CHECK(fleet.RejectingNodes() == nodes);
  CheckSoundRequestsGoOn(outcome);
}

TEST_CASE(
    "Three such requests and a part that crashes upstreams are all kept "
    "from them",
    "[quarantine][request][scale]") {
  const size_t nodes = GENERATE(7, 63, 195);
  CAPTURE(nodes);
  request_fleet_scenario scenario = Scenario(nodes);
  scenario.deadly_requests = 3;
  scenario.deadly_share = 0.01;
  scenario.deadly_part_share = 0.02;
  request_fleet fleet(scenario);
  const request_fleet_outcome outcome = fleet.Run();
  CHECK(outcome.sent_late <= kMaxSentLate);
  CHECK(fleet.RejectingNodes() == nodes);
}

// Guards against rejecting those that run beside it: a plain upstream has some
// thirty requests at a time.
TEST_CASE("Requests beside a deadly one at crowded upstreams go on",
          "[quarantine][request][scale][false_accusation]") {
  const size_t nodes = GENERATE(63, 195);
  CAPTURE(nodes);
  request_fleet_scenario scenario = Scenario(nodes);
  scenario.upstreams = 40;
  scenario.answer = milliseconds(1500);
  scenario.deadly_share = 0.005;
  const request_fleet_outcome outcome = request_fleet(scenario).Run();
  CHECK(outcome.sent_late == 0);
  CheckSoundRequestsGoOn(outcome);
}

// Guards against rejecting sound requests after crashes of other causes.
TEST_CASE("Crashes of other causes keep no request from upstreams",
          "[quarantine][request][scale][false_accusation]") {
  const size_t nodes = GENERATE(7, 63, 195);
  CAPTURE(nodes);
  request_fleet_scenario scenario = Scenario(nodes);
  scenario.deadly_share = 0;
  scenario.length = milliseconds(20000);
  SECTION("upstreams crash one after the other") {
    scenario.other_crashes_per_second = nodes < 10 ? 0.5 : 3;
    scenario.broken_share = 0.02;
  }
  SECTION("upstreams crash while most requests are alike") {
    scenario.alike_share = 0.8;
    scenario.alike_requests = 3;
    scenario.other_crashes_per_second = nodes < 10 ? 0.5 : 3;
  }
  SECTION("a rack of upstreams crashes") {
    scenario.herd_at = milliseconds(8000);
    scenario.herd_size = scenario.upstreams / 2;
  }
  SECTION("a rack of upstreams crashes just after all nodes started") {
    scenario.herd_at = milliseconds(400);
    scenario.herd_size = scenario.upstreams / 2;
  }
  CheckSoundRequestsGoOn(request_fleet(scenario).Run());
}

TEST_CASE("The request is found among crashes of other causes",
          "[quarantine][request][scale]") {
  const size_t nodes = GENERATE(7, 63, 195);
  CAPTURE(nodes);
  request_fleet_scenario scenario = Scenario(nodes);
  scenario.other_crashes_per_second = nodes < 10 ? 0.5 : 3;
  scenario.broken_share = 0.02;
  request_fleet fleet(scenario);
  const request_fleet_outcome outcome = fleet.Run();
  CHECK(outcome.sent_late <= kMaxSentLate);
  CHECK(fleet.RejectingNodes() == nodes);
}

// Guards against bytes that a busy node reads after the crash, which look like
// a sign of life of the upstream.
TEST_CASE("The request is found although some nodes read the last bytes late",
          "[quarantine][request][scale]") {
  const size_t nodes = GENERATE(7, 63, 195);
  const uint32_t seed = GENERATE(1, 2, 3, 4, 5);
  CAPTURE(nodes, seed);
  request_fleet_scenario scenario = Scenario(nodes);
  scenario.late_reader_share = 0.2;
  scenario.seed = seed;
  scenario.length = milliseconds(20000);
  request_fleet fleet(scenario);
  const request_fleet_outcome outcome = fleet.Run();
  CHECK(outcome.sent_late == 0);
  CHECK(fleet.RejectingNodes() == nodes);
}

TEST_CASE("The request is found while nearly all upstreams crash",
          "[quarantine][request][scale]") {
  const size_t nodes = GENERATE(7, 63);
  const uint32_t seed = GENERATE(1, 2, 3);
  CAPTURE(nodes, seed);
  request_fleet_scenario scenario = Scenario(nodes);
  scenario.herd_at = milliseconds(6000);
  scenario.herd_size = scenario.upstreams * 9 / 10;
  scenario.herd_span = milliseconds(2000);
  scenario.seed = seed;
  request_fleet fleet(scenario);
  const request_fleet_outcome outcome = fleet.Run();
  CHECK(outcome.sent_late <= kMaxSentLate);
  CHECK(fleet.RejectingNodes() == nodes);
}

TEST_CASE("Nodes that slept or were cut off do not send the request again",
          "[quarantine][request][scale]") {
  const size_t nodes = GENERATE(7, 63, 195);
  CAPTURE(nodes);
  request_fleet_scenario scenario = Scenario(nodes);
  scenario.sleeping_nodes = nodes / 7;
  scenario.sleep = {milliseconds(3000), milliseconds(12000)};
  scenario.cut_nodes = nodes / 7;
  scenario.length = milliseconds(20000);
  const request_fleet_outcome outcome = request_fleet(scenario).Run();
  CHECK(outcome.sent_late <= kMaxSentLate);
  CheckSoundRequestsGoOn(outcome);
}

TEST_CASE("Nodes that all start again read the request from the archive",
          "[quarantine][request][scale][start]") {
  const size_t nodes = GENERATE(7, 63, 195, 347);
  CAPTURE(nodes);
  request_fleet_scenario scenario = Scenario(nodes);
  scenario.restart_at = milliseconds(12000);
  scenario.archived = true;
  request_fleet fleet(scenario);
  const request_fleet_outcome outcome = fleet.Run();
  CHECK(outcome.sent_late == 0);
  CHECK(fleet.RejectingNodes() == nodes);
}

// Guards against a request that is sent anew each time its quarantine ends.
TEST_CASE("A request that returns for a day is sent three times at most",
          "[quarantine][request][scale]") {
  const size_t nodes = GENERATE(7, 63);
  const uint32_t seed = GENERATE(1, 2, 3, 4, 5);
  CAPTURE(nodes, seed);
  request_fleet_scenario scenario = Scenario(nodes);
  scenario.requests_per_second = 100;
  scenario.deadly_share = 0.05;
  scenario.deadly_times = {{milliseconds(3000), milliseconds(100000)}};
  scenario.pauses = {{milliseconds(12000), std::chrono::minutes(11)},
                     {milliseconds(36000), std::chrono::minutes(181)},
                     {milliseconds(60000), std::chrono::hours(24)}};
  scenario.length = milliseconds(84000);
  scenario.seed = seed;
  request_fleet fleet(scenario);
  const request_fleet_outcome outcome = fleet.Run();
  CHECK(outcome.sent_late <= kMaxSentLate);
  CHECK(fleet.RejectingNodes() == nodes);
  CheckSoundRequestsGoOn(outcome);
}

TEST_CASE("The nodes' memory and datagrams for requests are bounded",
          "[quarantine][request][scale][bounds]") {
  constexpr size_t kMaxBytes = 2 << 20;
  const size_t nodes = GENERATE(7, 195);
  CAPTURE(nodes);
  request_fleet_scenario scenario = Scenario(nodes);
  scenario.other_crashes_per_second = 3;
  scenario.deadly_share = 0.05;
  scenario.length = milliseconds(20000);
  const request_fleet_outcome outcome = request_fleet(scenario).Run();
  CHECK(outcome.max_memory_bytes <= kMaxBytes);
  // A node tells its peers of at most 128 crashes a second, and of successes
  // and quarantines seldom; a datagram holds at least one of them.
  constexpr size_t kMaxPerPeerAndSecond = 128;
  constexpr size_t kSeconds = 20;
  CHECK(outcome.datagrams <=
        kMaxPerPeerAndSecond * kSeconds * nodes * (nodes - 1));
}

}  // namespace skylarkcroft
