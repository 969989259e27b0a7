#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "skylarkcroft/routing/skylarkcroft_upstream_directory.h"

namespace skylarkcroft {
namespace {

const time_point kNow = time_point{} + std::chrono::hours(1);
const milliseconds kPastEjection{5000};

class directory_fixture {
 public:
  explicit directory_fixture(size_t members) {
    pool one;
    one.name = "p";
    for (size_t index = 0; index < members; ++index) {
      upstream spec;
      spec.name = std::string(1, static_cast<char>('a' + index));
      spec.address = {"127.0.0.1", static_cast<uint16_t>(1000 + index)};
      one.upstreams.push_back(spec);
    }
    directory.SetPools(pools_table({one}), kNow);
    directory.OnEvent(
        [this](upstream_event event) { events.push_back(event); });
  }

  void End(const std::string& name, attempt_outcome outcome, int times) {
    for (int index = 0; index < times; ++index) {
      directory.NoteSent("p", name, kNow);
      directory.NoteEnded("p", name, outcome, kNow);
    }
  }

  int64_t Open(time_point now) const {
    int64_t open = 0;
    for (const upstream_state& state : directory.InPool("p")) {
      open += TakesRequests(state, now) ? 1 : 0;
    }
    return open;
  }

  upstream_directory directory;
  std::vector<upstream_event> events;
};

TEST_CASE("answers that are failures eject, until a probe after the time",
          "[routing][ejection]") {
  directory_fixture fixture(4);
  fixture.End("a", attempt_outcome::kFailed, 5);
  CHECK(fixture.Open(kNow) == 3);
  CHECK(fixture.directory.ProbesDue(kNow).empty());
  const time_point later = kNow + kPastEjection;
  CHECK(fixture.Open(later) == 3);
  REQUIRE(fixture.directory.ProbesDue(later).size() == 1);
  fixture.directory.NoteProbe({"p", "a"}, true, later);
  CHECK(fixture.Open(later) == 4);
  CHECK(fixture.events ==
        std::vector<upstream_event>{upstream_event::kEjected,
                                    upstream_event::kProbePassed,
                                    upstream_event::kTakenBack});
}

TEST_CASE("an ejection grows with each probe that fails",
          "[routing][ejection]") {
  directory_fixture fixture(2);
  fixture.End("a", attempt_outcome::kFailed, 5);
  const time_point second = kNow + kPastEjection;
  fixture.directory.NoteProbe({"p", "a"}, false, second);
  CHECK(fixture.directory.ProbesDue(second + kPastEjection).empty());
  CHECK(fixture.directory.ProbesDue(second + 2 * kPastEjection).size() == 1);
}

TEST_CASE("at most half of a pool is ejected at once", "[routing][ejection]") {
  const auto members = GENERATE(size_t{1}, size_t{2}, size_t{5});
  directory_fixture fixture(members);
  for (const upstream_state& state : fixture.directory.InPool("p")) {
    fixture.End(state.spec.name, attempt_outcome::kFailed, 5);
  }
  const auto expected = static_cast<int64_t>(members - members / 2);
  CHECK(fixture.Open(kNow) == expected);
  CHECK(fixture.events.back() == upstream_event::kEjectionWithheld);
}

TEST_CASE("failed connections are blamed on the upstream only after a probe",
          "[routing][ejection]") {
  directory_fixture fixture(2);
  const auto outcome =
      GENERATE(attempt_outcome::kConnectFailed, attempt_outcome::kBroken,
               attempt_outcome::kTimedOut);
  fixture.End("a", outcome, 2);
  CHECK(fixture.Open(kNow) == 2);
  REQUIRE(fixture.directory.ProbesDue(kNow).size() == 1);
  SECTION("the probe passes") {
    fixture.directory.NoteProbe({"p", "a"}, true, kNow);
    CHECK(fixture.Open(kNow) == 2);
    CHECK(fixture.directory.ProbesDue(kNow).empty());
    SECTION("and requests go on failing") {
      fixture.End("a", outcome, 4);
      CHECK(fixture.Open(kNow) == 1);
    }
  }
  SECTION("the probe fails") {
    fixture.directory.NoteProbe({"p", "a"}, false, kNow);
    CHECK(fixture.Open(kNow) == 1);
  }
}

TEST_CASE("refusals and cancelled tries eject nobody", "[routing][ejection]") {
  directory_fixture fixture(2);
  fixture.End("a", attempt_outcome::kRefused, 50);
  fixture.End("a", attempt_outcome::kCancelled, 50);
  CHECK(fixture.Open(kNow) == 2);
  CHECK(fixture.directory.ProbesDue(kNow).empty());
}

TEST_CASE("a pool counts as closed once it has been so for the limit",
          "[routing][ejection]") {
  directory_fixture fixture(1);
  fixture.directory.NoteTime(kNow);
  CHECK_FALSE(fixture.directory.ClosedFor("p", milliseconds(0), kNow));
  fixture.directory.NoteLeaving({"127.0.0.1", 1000});
  fixture.directory.NoteTime(kNow);
  CHECK_FALSE(fixture.directory.ClosedFor("p", milliseconds(10), kNow));
  CHECK(fixture.directory.ClosedFor("p", milliseconds(10),
                                    kNow + milliseconds(10)));
}

}  // namespace
}  // namespace skylarkcroft
