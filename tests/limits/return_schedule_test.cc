#include <catch2/catch.hpp>

#include "skylarkcroft/limits/skylarkcroft_return_schedule.h"

namespace skylarkcroft {
namespace {

constexpr time_point kStart{std::chrono::seconds(100)};
constexpr double kRate = 1000;  // Tokens a second.

/// A request of 500 tokens, for which alone there is room in 200 ms.
refused_request Refused(size_t rank, milliseconds remaining) {
  return {rank, 500, 0.2, kRate, remaining, 0};
}

}  // namespace

// Guards against a Retry-After that calls all refused clients back at the time
// at which there is room for one of them.
TEST_CASE("Requests that are to return are told different times",
          "[limits][returns]") {
  const milliseconds remaining(9000);
  return_schedule schedule(return_schedule_parameters{}, 3);
  CHECK(schedule.Add(Refused(1, remaining), kStart) == milliseconds(200));
  CHECK(schedule.Add(Refused(1, remaining), kStart) == milliseconds(700));
  // Less urgent ones return behind both, more urgent ones before them.
  CHECK(schedule.Add(Refused(2, remaining), kStart) == milliseconds(1200));
  CHECK(schedule.Add(Refused(0, remaining), kStart) == milliseconds(200));
  // What was served meanwhile no longer counts.
  CHECK(schedule.Add(Refused(1, remaining), kStart + milliseconds(1000)) ==
        milliseconds(700));
}

// Guards against calling clients back before there is room because they have
// little time left.
TEST_CASE("A client without the time to wait is told the true time",
          "[limits][returns]") {
  return_schedule schedule(return_schedule_parameters{}, 3);
  for (int i = 0; i < 4; ++i) {
    schedule.Add(Refused(1, milliseconds(9000)), kStart);
  }
  const milliseconds wait =
      schedule.Add(Refused(1, milliseconds(3000)), kStart);
  CHECK(wait == milliseconds(2200));
  // It does not return, so that nobody waits behind it.
  CHECK(schedule.Add(Refused(1, milliseconds(9000)), kStart) == wait);
}

TEST_CASE("A wait with its random part stays within the useful time",
          "[limits][returns]") {
  return_schedule schedule(return_schedule_parameters{}, 1);
  refused_request request = Refused(0, milliseconds(660));
  request.draw = 0.99;
  const milliseconds wait = schedule.Add(request, kStart);
  CHECK(wait > milliseconds(200));
  CHECK(wait <= milliseconds(220));
}

}  // namespace skylarkcroft
