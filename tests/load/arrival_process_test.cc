#include <catch2/catch.hpp>

#include "load/skylarkcroft_arrival_process.h"

namespace skylarkcroft::load {
namespace {

constexpr milliseconds kRun{100'000};

caller_group Group() {
  caller_group group;
  group.callers = 4;
  group.rate_per_caller = 5.0;
  return group;
}

std::vector<arrival> All(const caller_group& group, uint64_t seed) {
  arrival_process process(group, kRun, seed);
  std::vector<arrival> all;
  while (const std::optional<arrival> next = process.Next()) {
    all.push_back(*next);
  }
  return all;
}

TEST_CASE("the same seed gives the same arrivals", "[load]") {
  CHECK(All(Group(), 3) == All(Group(), 3));
  CHECK(All(Group(), 3) != All(Group(), 4));
}

TEST_CASE("arrivals are in order, inside the run, at the stated rate",
          "[load]") {
  const std::vector<arrival> all = All(Group(), 1);
  // 2000 expected; five standard deviations are 224.
  CHECK(all.size() > 1776);
  CHECK(all.size() < 2224);
  CHECK(std::is_sorted(all.begin(), all.end(),
                       [](const arrival& left, const arrival& right) {
                         return left.at < right.at;
                       }));
  CHECK(all.back().at < kRun);
  for (const arrival& each : all) {
    REQUIRE(each.caller >= 1);
    REQUIRE(each.caller <= 4);
  }
}

TEST_CASE("a phase multiplies the rate inside its span only", "[load]") {
  caller_group group = Group();
  group.phases = {{milliseconds(20'000), milliseconds(40'000), 10.0},
                  {milliseconds(60'000), milliseconds(80'000), 0.0}};
  const std::vector<arrival> all = All(group, 1);
  const auto count = [&](milliseconds from, milliseconds to) {
    return std::count_if(all.begin(), all.end(), [&](const arrival& each) {
      return each.at >= from && each.at < to;
    });
  };
  CHECK(count(milliseconds(0), milliseconds(20'000)) ==
        Approx(400).margin(100));
  CHECK(count(milliseconds(20'000), milliseconds(40'000)) ==
        Approx(4000).margin(320));
  CHECK(count(milliseconds(40'000), milliseconds(60'000)) ==
        Approx(400).margin(100));
  CHECK(count(milliseconds(60'000), milliseconds(80'000)) == 0);
}

}  // namespace
}  // namespace skylarkcroft::load
