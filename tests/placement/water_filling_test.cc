#include <catch2/catch.hpp>
#include <vector>

#include "skylarkcroft/placement/skylarkcroft_peer_loads.h"
#include "skylarkcroft/placement/skylarkcroft_service_time_stats.h"
#include "skylarkcroft/placement/skylarkcroft_water_filling.h"

namespace skylarkcroft {
namespace {

constexpr time_point kStart{std::chrono::seconds(100)};

}  // namespace

TEST_CASE("Without unreported requests the cheapest option is always chosen",
          "[placement][spread]") {
  const std::vector<placement_option> options = {{30, 0}, {10, 0}, {20, 0}};
  for (const double draw : {0.0, 0.5, 0.99}) {
    CHECK(ChooseByWaterFilling(options, 0, draw) == 1);
  }
}

TEST_CASE("Unreported requests raise the cheapest options to a common level",
          "[placement][spread][herd]") {
  const std::vector<placement_option> options = {{30, 0}, {10, 0}, {20, 0}};
  CHECK(WaterLevel(options, 10) == Approx(20));
  CHECK(WaterLevel(options, 14) == Approx(22));
  CHECK(WaterLevel(options, 30) == Approx(30));
  CHECK(WaterLevel(options, 60) == Approx(40));
  // 12 of 14 go to the cheapest option, 2 to the next.
  CHECK(ChooseByWaterFilling(options, 14, 0.85) == 1);
  CHECK(ChooseByWaterFilling(options, 14, 0.87) == 2);
}

TEST_CASE("A request goes to the option where its own savings make it cheapest",
          "[placement][spread][affinity]") {
  CHECK(ChooseByWaterFilling({{30, 25}, {10, 0}}, 0, 0.5) == 0);
  CHECK(ChooseByWaterFilling({{30, 15}, {10, 0}}, 0, 0.5) == 1);
  CHECK(ChooseByWaterFilling({{30, 15}, {10, 0}}, 30, 0.9) == 0);
}

TEST_CASE("Sums over peers reflect their latest reports",
          "[placement][peers]") {
  peer_loads loads{milliseconds(1000)};
  upstream_report report;
  report.key = 7;
  report.load.running = 3;
  loads.Set({"a"}, {report}, kStart);
  loads.Set({"b"}, {report}, kStart + milliseconds(600));
  loads.DropExpired(kStart + milliseconds(600));
  CHECK(loads.SumFor(7).load.running == 6);
  CHECK(loads.MeanAge(kStart + milliseconds(800)) == milliseconds(500));
  CHECK(loads.MaxAge(kStart + milliseconds(800)) == milliseconds(800));
  SECTION("a peer's next report replaces its previous one") {
    report.load.running = 1;
    loads.Set({"a"}, {report}, kStart + milliseconds(900));
    CHECK(loads.SumFor(7).load.running == 4);
  }
  SECTION("each part of a split report is replaced separately") {
    loads.Set({"a", 0, 2}, {report}, kStart + milliseconds(900));
    loads.Set({"a", 1, 2}, {report}, kStart + milliseconds(900));
    CHECK(loads.SumFor(7).load.running == 9);
    loads.Set({"a", 0, 1}, {report}, kStart + milliseconds(950));
    CHECK(loads.SumFor(7).load.running == 6);
  }
  SECTION("an expired report is not counted") {
    loads.DropExpired(kStart + milliseconds(1100));
    CHECK(loads.SumFor(7).load.running == 3);
    CHECK(loads.size() == 1);
  }
}

TEST_CASE(
    "The mean service time follows from in-flight time and ended requests",
    "[placement][pace]") {
  service_time_stats stats;
  for (int i = 0; i < 20; ++i) {
    stats.RecordSent(100, kStart + milliseconds(100 * i));
    stats.RecordEnded(kStart + milliseconds(100 * i + 40));
  }
  const time_point now = kStart + milliseconds(2000);
  CHECK(stats.MeanServiceTime(now) >= milliseconds(38));
  CHECK(stats.MeanServiceTime(now) <= milliseconds(42));
  CHECK(stats.MeanPrefillTokens(5, now) == Approx(100));
}

}  // namespace skylarkcroft
