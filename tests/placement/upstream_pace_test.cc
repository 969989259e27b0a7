#include <algorithm>
#include <catch2/catch.hpp>

#include "skylarkcroft/placement/skylarkcroft_upstream_paces.h"
#include "tests/placement/simulated_engines.h"

namespace skylarkcroft {
namespace {

constexpr time_point kStart{std::chrono::seconds(100)};
constexpr uint32_t kKey = 5;
constexpr int kSlots = 32;

upstream_entry Entry(const std::string& id, int64_t incarnation = 1) {
  upstream_entry entry;
  entry.id = id;
  entry.service = "pool";
  entry.slots = kSlots;
  entry.incarnation = incarnation;
  return entry;
}

placement_request Request() {
  placement_request request;
  request.service = "pool";
  request.cache_tokens = 600000;
  request.shape.prompt_tokens = 1000;
  request.shape.max_output_tokens = 100;
  return request;
}

pace_of_peers NoPeers(uint32_t /*key*/) { return {}; }

upstream_paces Started() {
  upstream_paces paces{pace_parameters{}};
  paces.Start({"u", kKey, kSlots, milliseconds(0), kStart, false, 7});
  return paces;
}

}  // namespace

// Guards against a third of the engines being flooded by nodes with old reports
// when they start together, and against their idling behind the limit.
TEST_CASE("Engines that have just started fill up without late answers",
          "[placement][pace]") {
  constexpr int kNew = 15;
  simulation_options options;
  options.nodes = GENERATE(1U, 7U, 89U, 347U);
  options.rate_per_s = 230;
  options.cold = milliseconds(2500);
  options.cold_factor = 2;
  options.listed_at = [](int i) { return milliseconds(i < kNew ? 6000 : 0); };
  simulated_engines engines(options);
  engines.Run(milliseconds(12000));
  int declined = 0;
  int late = 0;
  milliseconds slowest{0};
  for (int i = 0; i < kNew; ++i) {
    const auto& counts = engines.tallies()[static_cast<size_t>(i)];
    declined += counts.declined;
    late += counts.late;
    slowest =
        std::max(slowest, counts.time_to_use.value_or(milliseconds::max()));
  }
  INFO(options.nodes << " nodes: " << declined << " declined, " << late
                     << " late, full use after " << slowest.count() << " ms");
  CHECK(declined == 0);
  CHECK(late <= 8);
  CHECK(slowest <= milliseconds(4500));
}

// Guards against limits that no longer follow what the engine can take.
TEST_CASE("A limit rises with answers in time and falls with the others",
          "[placement][pace]") {
  upstream_paces paces = Started();
  CHECK(paces.Limit(kKey) == 4);
  for (int i = 0; i < 6; ++i) {
    paces.RecordAnswer(kKey, milliseconds(80), milliseconds(80), kStart);
  }
  // The peers' sum counts in full, however often it is reported.
  const auto peers = [](uint32_t) { return pace_of_peers{5, 9}; };
  paces.Update(peers, kStart);
  paces.Update(peers, kStart);
  CHECK(paces.Limit(kKey) == 15);
  paces.RecordAnswer(kKey, milliseconds(900), milliseconds(80), kStart);
  paces.RecordRejection(kKey, kStart);
  paces.Update(peers, kStart);
  CHECK(paces.Limit(kKey).value() == Approx(11.5));
  for (int i = 0; i < 60; ++i) {
    paces.RecordRejection(kKey, kStart);
  }
  paces.Update(NoPeers, kStart);
  CHECK(paces.Limit(kKey) == 1);
}

// Guards against engines that stay limited though nothing is wrong.
TEST_CASE("A limit ends at all slots, or in time without demand",
          "[placement][pace]") {
  upstream_paces paces = Started();
  CHECK(paces.Update(NoPeers, kStart) ==
        std::vector<pace_change>{{"u", true, 4}});
  SECTION("at all slots") {
    const auto changes = paces.Update(
        [](uint32_t) {
          return pace_of_peers{28, 20};
        },
        kStart);
    CHECK(changes == std::vector<pace_change>{{"u", false, 32}});
  }
  SECTION("in time") {
    paces.Update(NoPeers, kStart + milliseconds(4900));
    CHECK(paces.Limit(kKey).has_value());
    paces.Update(NoPeers, kStart + milliseconds(5000));
  }
  CHECK_FALSE(paces.Limit(kKey).has_value());
}

// Guards against a fleet that is idle after a restart of all nodes.
TEST_CASE("Without the setting no upstream is limited", "[placement][pace]") {
  load_balancer_parameters parameters;
  parameters.pace.enabled = false;
  load_balancer balancer{parameters};
  balancer.Reset({Entry("u0")}, kStart);
  balancer.Put(Entry("u1"), kStart);
  CHECK_FALSE(balancer.PaceLimit("u1").has_value());
}

TEST_CASE("Upstreams of the first list count as established",
          "[placement][pace]") {
  load_balancer balancer{load_balancer_parameters{}};
  balancer.Reset({Entry("u0"), Entry("u1")}, kStart);
  CHECK_FALSE(balancer.PaceLimit("u0").has_value());
  balancer.Put(Entry("u2"), kStart);
  CHECK(balancer.PaceLimit("u2") == 4);
  SECTION("another process of the same id does not") {
    balancer.Put(Entry("u0", 2), kStart);
    CHECK(balancer.PaceLimit("u0") == 4);
  }
  SECTION("an entry that is written again does") {
    balancer.Put(Entry("u0"), kStart);
    CHECK_FALSE(balancer.PaceLimit("u0").has_value());
  }
}

// Guards against refusing requests where all upstreams have just started.
TEST_CASE("Limits do not bind where all upstreams are new",
          "[placement][pace]") {
  load_balancer balancer{load_balancer_parameters{}};
  upstream_entry other = Entry("other");
  other.service = "other";
  balancer.Reset({other}, kStart);
  balancer.Put(Entry("u0"), kStart);
  for (int i = 0; i < 20; ++i) {
    const std::optional<placement> placed = balancer.Choose(Request(), kStart);
    REQUIRE(placed.has_value());
    balancer.RecordRequestSent(placed->upstream.id, placed->work,
                               Request().shape, kStart);
  }
}

// Guards against a node that leaves an engine alone for longer than the engine
// has asked it to.
TEST_CASE("After a pause for this node alone there is no limit",
          "[placement][pace]") {
  load_balancer balancer{load_balancer_parameters{}};
  balancer.Reset({Entry("u0"), Entry("u1")}, kStart);
  balancer.RecordPause(Entry("u0"), kStart + milliseconds(500), kStart);
  CHECK(balancer.PaceLimit("u0").has_value());
  upstream_report report;
  report.key = UpstreamKey("u0");
  report.load.running = GENERATE(10, 0);
  balancer.SetPeerReport({"peer"}, {report}, kStart);
  balancer.UpdatePaces(kStart + milliseconds(500));
  CHECK(balancer.PaceLimit("u0").has_value() == (report.load.running == 0));
}

}  // namespace skylarkcroft
