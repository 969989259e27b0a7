#include <catch2/catch.hpp>
#include <vector>

#include "skylarkcroft/placement/skylarkcroft_peer_loads.h"
#include "skylarkcroft/placement/skylarkcroft_service_pace.h"
#include "skylarkcroft/placement/skylarkcroft_spread_choice.h"

namespace skylarkcroft {
namespace {

constexpr time_point kStart{std::chrono::seconds(100)};

}  // namespace

TEST_CASE("Fresh figures send every request to the cheapest option",
          "[placement][spread]") {
  const std::vector<spread_option> options = {{30, 0}, {10, 0}, {20, 0}};
  for (const double draw : {0.0, 0.5, 0.99}) {
    CHECK(ChooseSpread(options, 0, draw) == 1);
  }
}

TEST_CASE("Unseen requests fill the cheapest options to one level",
          "[placement][spread][herd]") {
  const std::vector<spread_option> options = {{30, 0}, {10, 0}, {20, 0}};
  CHECK(FilledLevel(options, 10) == Approx(20));
  CHECK(FilledLevel(options, 14) == Approx(22));
  CHECK(FilledLevel(options, 30) == Approx(30));
  CHECK(FilledLevel(options, 60) == Approx(40));
  // 12 of 14 to the cheapest, 2 to the next.
  CHECK(ChooseSpread(options, 14, 0.85) == 1);
  CHECK(ChooseSpread(options, 14, 0.87) == 2);
}

TEST_CASE("A request goes where it alone saves something",
          "[placement][spread][affinity]") {
  CHECK(ChooseSpread({{30, 25}, {10, 0}}, 0, 0.5) == 0);
  CHECK(ChooseSpread({{30, 15}, {10, 0}}, 0, 0.5) == 1);
  CHECK(ChooseSpread({{30, 15}, {10, 0}}, 30, 0.9) == 0);
}

TEST_CASE("Sums over peers follow their newest reports", "[placement][peers]") {
  peer_loads loads{milliseconds(1000)};
  peer_upstream_view view;
  view.upstream = 7;
  view.load.running = 3;
  loads.Set({"a"}, {view}, kStart);
  loads.Set({"b"}, {view}, kStart + milliseconds(600));
  loads.Expire(kStart + milliseconds(600));
  CHECK(loads.At(7).load.running == 6);
  CHECK(loads.MeanAge(kStart + milliseconds(800)) == milliseconds(500));
  CHECK(loads.GreatestAge(kStart + milliseconds(800)) == milliseconds(800));
  SECTION("a peer's next report replaces its last one") {
    view.load.running = 1;
    loads.Set({"a"}, {view}, kStart + milliseconds(900));
    CHECK(loads.At(7).load.running == 4);
  }
  SECTION("a report in parts counts part by part") {
    loads.Set({"a", 0, 2}, {view}, kStart + milliseconds(900));
    loads.Set({"a", 1, 2}, {view}, kStart + milliseconds(900));
    CHECK(loads.At(7).load.running == 9);
    loads.Set({"a", 0, 1}, {view}, kStart + milliseconds(950));
    CHECK(loads.At(7).load.running == 6);
  }
  SECTION("a silent peer does not count") {
    loads.Expire(kStart + milliseconds(1100));
    CHECK(loads.At(7).load.running == 3);
    CHECK(loads.size() == 1);
  }
}

TEST_CASE("The mean time at work follows from what ran and what ended",
          "[placement][pace]") {
  service_pace pace;
  for (int i = 0; i < 20; ++i) {
    pace.NoteSent(100, kStart + milliseconds(100 * i));
    pace.NoteEnded(kStart + milliseconds(100 * i + 40));
  }
  const time_point now = kStart + milliseconds(2000);
  CHECK(pace.MeanTime(now) >= milliseconds(38));
  CHECK(pace.MeanTime(now) <= milliseconds(42));
  CHECK(pace.MeanUnread(5, now) == Approx(100));
}

}  // namespace skylarkcroft
