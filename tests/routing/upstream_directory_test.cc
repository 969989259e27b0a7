#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "skylarkcroft/routing/skylarkcroft_upstream_directory.h"

namespace skylarkcroft {
namespace {

const time_point kNow = time_point{} + std::chrono::hours(1);
const milliseconds kFirstEjectionDuration{5000};

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
    directory.SetEventHandler(
        [this](upstream_event event) { events.push_back(event); });
  }

  void RecordAttempts(const std::string& name, attempt_outcome outcome,
                      int times) {
    for (int index = 0; index < times; ++index) {
      directory.RecordSent("p", name, kNow);
      directory.RecordOutcome("p", name, outcome, kNow);
    }
  }

  int64_t AvailableCount(time_point now) const {
    int64_t available = 0;
    for (const upstream_state& state : directory.UpstreamsInPool("p")) {
      available += AcceptsRequests(state, now) ? 1 : 0;
    }
    return available;
  }

  upstream_directory directory;
  std::vector<upstream_event> events;
};

TEST_CASE(
    "failure responses eject an upstream until a probe after the ejection",
    "[routing][ejection]") {
  directory_fixture fixture(4);
  fixture.RecordAttempts("a", attempt_outcome::kFailed, 5);
  CHECK(fixture.AvailableCount(kNow) == 3);
  CHECK(fixture.directory.ProbesDue(kNow).empty());
  const time_point later = kNow + kFirstEjectionDuration;
  CHECK(fixture.AvailableCount(later) == 3);
  REQUIRE(fixture.directory.ProbesDue(later).size() == 1);
  fixture.directory.RecordProbe({"p", "a"}, true, later);
  CHECK(fixture.AvailableCount(later) == 4);
  CHECK(fixture.events ==
        std::vector<upstream_event>{upstream_event::kEjected,
                                    upstream_event::kProbePassed,
                                    upstream_event::kReinstated});
}

TEST_CASE("each failed probe prolongs the ejection", "[routing][ejection]") {
  directory_fixture fixture(2);
  fixture.RecordAttempts("a", attempt_outcome::kFailed, 5);
  const time_point second = kNow + kFirstEjectionDuration;
  fixture.directory.RecordProbe({"p", "a"}, false, second);
  CHECK(fixture.directory.ProbesDue(second + kFirstEjectionDuration).empty());
  CHECK(
      fixture.directory.ProbesDue(second + 2 * kFirstEjectionDuration).size() ==
      1);
}

TEST_CASE("at most half of a pool is ejected at once", "[routing][ejection]") {
  const auto members = GENERATE(size_t{1}, size_t{2}, size_t{5});
  directory_fixture fixture(members);
  for (const upstream_state& state : fixture.directory.UpstreamsInPool("p")) {
    fixture.RecordAttempts(state.spec.name, attempt_outcome::kFailed, 5);
  }
  const auto expected = static_cast<int64_t>(members - members / 2);
  CHECK(fixture.AvailableCount(kNow) == expected);
  CHECK(fixture.events.back() == upstream_event::kEjectionWithheld);
}

TEST_CASE("failed connections eject an upstream only after a probe",
          "[routing][ejection]") {
  directory_fixture fixture(2);
  const auto outcome =
      GENERATE(attempt_outcome::kConnectFailed, attempt_outcome::kBroken,
               attempt_outcome::kTimedOut);
  fixture.RecordAttempts("a", outcome, 2);
  CHECK(fixture.AvailableCount(kNow) == 2);
  REQUIRE(fixture.directory.ProbesDue(kNow).size() == 1);
  SECTION("the probe passes") {
    fixture.directory.RecordProbe({"p", "a"}, true, kNow);
    CHECK(fixture.AvailableCount(kNow) == 2);
    CHECK(fixture.directory.ProbesDue(kNow).empty());
    SECTION("and requests continue to fail") {
      fixture.RecordAttempts("a", outcome, 4);
      CHECK(fixture.AvailableCount(kNow) == 1);
    }
  }
  SECTION("the probe fails") {
    fixture.directory.RecordProbe({"p", "a"}, false, kNow);
    CHECK(fixture.AvailableCount(kNow) == 1);
  }
}

TEST_CASE("refused and cancelled attempts do not eject an upstream",
          "[routing][ejection]") {
  directory_fixture fixture(2);
  fixture.RecordAttempts("a", attempt_outcome::kRefused, 50);
  fixture.RecordAttempts("a", attempt_outcome::kCancelled, 50);
  CHECK(fixture.AvailableCount(kNow) == 2);
  CHECK(fixture.directory.ProbesDue(kNow).empty());
}

TEST_CASE("a pool is unavailable for a limit only after that time has passed",
          "[routing][ejection]") {
  directory_fixture fixture(1);
  fixture.directory.UpdateUnavailablePools(kNow);
  CHECK_FALSE(fixture.directory.UnavailableFor("p", milliseconds(0), kNow));
  fixture.directory.OnReclaimNotice({"127.0.0.1", 1000});
  fixture.directory.UpdateUnavailablePools(kNow);
  CHECK_FALSE(fixture.directory.UnavailableFor("p", milliseconds(10), kNow));
  CHECK(fixture.directory.UnavailableFor("p", milliseconds(10),
                                         kNow + milliseconds(10)));
}

TEST_CASE("an upstream that tells that it leaves gets no further requests",
          "[routing][leaving]") {
  directory_fixture fixture(2);
  const endpoint address =
      fixture.directory.UpstreamsInPool("p").front().spec.address;
  CHECK(fixture.directory.OnAnnouncement(address, {true, {}}, kNow));
  CHECK(fixture.AvailableCount(kNow) == 1);
  CHECK_FALSE(fixture.directory.OnAnnouncement(address, {true, {}}, kNow));
  load_report ready;
  fixture.directory.RecordLoad("p", "a", ready, kNow);
  CHECK(fixture.AvailableCount(kNow + std::chrono::hours(1)) == 1);
}

TEST_CASE("an upstream that asks for a pause gets no requests until its end",
          "[routing][pause]") {
  directory_fixture fixture(2);
  const endpoint address =
      fixture.directory.UpstreamsInPool("p").front().spec.address;
  const milliseconds pause{1500};
  CHECK(fixture.directory.OnAnnouncement(address, {false, pause}, kNow));
  fixture.directory.OnAnnouncement(address, {false, milliseconds(10)}, kNow);
  CHECK(fixture.AvailableCount(kNow + milliseconds(1499)) == 1);
  CHECK(fixture.AvailableCount(kNow + milliseconds(1500)) == 2);
}

}  // namespace
}  // namespace skylarkcroft
