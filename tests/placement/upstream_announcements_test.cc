#include <catch2/catch.hpp>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "skylarkcroft/placement/skylarkcroft_load_balancer.h"

namespace skylarkcroft {
namespace {

constexpr time_point kStart{std::chrono::seconds(100)};

upstream_entry Entry(const std::string& id, int64_t incarnation = 1) {
  upstream_entry entry;
  entry.id = id;
  entry.service = "pool";
  entry.address = {"10.0.0.1", 80};
  entry.availability_zone = "a";
  entry.slots = 4;
  entry.incarnation = incarnation;
  return entry;
}

load_balancer Balancer(int count) {
  load_balancer balancer{load_balancer_parameters{}};
  for (int i = 0; i < count; ++i) {
    balancer.Put(Entry("u" + std::to_string(i)), kStart);
  }
  return balancer;
}

std::string Choose(const load_balancer& balancer, time_point now,
                   double draw = 0.5) {
  placement_request request;
  request.service = "pool";
  request.availability_zone = "a";
  request.draw = draw;
  const std::optional<placement> placed = balancer.Choose(request, now);
  return placed.has_value() ? placed->upstream.id : "";
}

}  // namespace

TEST_CASE("A leaving upstream takes what ends before it stops serving",
          "[placement][leaving]") {
  load_balancer balancer = Balancer(1);
  CHECK(
      balancer.RecordLeaving(Entry("u0"), kStart + milliseconds(2000), kStart));
  CHECK(balancer.UsableCount("pool") == 0);
  CHECK(Choose(balancer, kStart + milliseconds(1000)) == "u0");
  CHECK(Choose(balancer, kStart + milliseconds(1900)).empty());

  SECTION("and later announcements do not extend that time") {
    CHECK_FALSE(balancer.RecordLeaving(Entry("u0"), kStart + milliseconds(9000),
                                       kStart + milliseconds(1000)));
    CHECK(Choose(balancer, kStart + milliseconds(1900)).empty());
  }
  SECTION("nor does what the store lists") {
    balancer.Put(Entry("u0"), kStart + milliseconds(1000));
    CHECK(Choose(balancer, kStart + milliseconds(1900)).empty());
    upstream_entry draining = Entry("u0");
    draining.is_draining = true;
    balancer.Put(draining, kStart + milliseconds(1000));
    CHECK(Choose(balancer, kStart + milliseconds(1000)).empty());
    balancer.AllowWhileDraining("u0", kStart + milliseconds(9000));
    CHECK(Choose(balancer, kStart + milliseconds(1000)) == "u0");
    CHECK(Choose(balancer, kStart + milliseconds(1900)).empty());
  }
  SECTION("but another process under its id is used") {
    balancer.Put(Entry("u0", 2), kStart + milliseconds(1000));
    CHECK(balancer.UsableCount("pool") == 1);
    CHECK(Choose(balancer, kStart + milliseconds(60000)) == "u0");
  }
}

// Guards against requests to a leaving upstream whose entry was away when it
// told so, as after an outage of the store.
TEST_CASE("What an upstream tells while its entry is away counts",
          "[placement][leaving][pause][regression]") {
  load_balancer balancer = Balancer(1);
  balancer.Remove("u0", kStart);
  balancer.DropRemoved(kStart + milliseconds(60000));
  const time_point told_at = kStart + milliseconds(60000);
  const bool leaves = GENERATE(true, false);
  if (leaves) {
    CHECK(balancer.RecordLeaving(Entry("u0"), told_at + milliseconds(1000),
                                 told_at));
  } else {
    balancer.RecordPause(Entry("u0"), told_at + milliseconds(9000), told_at);
  }
  balancer.Put(Entry("u0"), told_at + milliseconds(500));
  CHECK(Choose(balancer, told_at + milliseconds(1500)).empty());
}

TEST_CASE("A pause ends with its time or with the process",
          "[placement][pause]") {
  load_balancer balancer = Balancer(1);
  CHECK_FALSE(balancer.FirstPauseEnd("pool", kStart).has_value());
  balancer.RecordPause(Entry("u0"), kStart + milliseconds(2000), kStart);
  balancer.RecordPause(Entry("u0"), kStart + milliseconds(1000), kStart);
  CHECK(balancer.FirstPauseEnd("pool", kStart) == kStart + milliseconds(2000));
  CHECK(Choose(balancer, kStart + milliseconds(1999)).empty());
  CHECK(Choose(balancer, kStart + milliseconds(2000)) == "u0");
  CHECK_FALSE(
      balancer.FirstPauseEnd("pool", kStart + milliseconds(2000)).has_value());
  balancer.Put(Entry("u0", 2), kStart + milliseconds(500));
  CHECK(Choose(balancer, kStart + milliseconds(600)) == "u0");
}

// Pattern: full upstreams that shed load and ask each node for a pause, at
// several hundred requests a second. Guards against requests that reach them
// meanwhile and against all load on the few that take some.
TEST_CASE("Upstreams that shed load get nothing in their pauses",
          "[placement][pause][load]") {
  constexpr int kUpstreams = 12;
  constexpr milliseconds kPause{1500};
  constexpr milliseconds kRequestTime{20};
  std::minstd_rand random(1);
  std::uniform_real_distribution<double> uniform(0, 1);
  load_balancer balancer = Balancer(kUpstreams);
  std::map<std::string, time_point> paused_until;
  std::map<std::string, int> served;
  std::vector<std::pair<time_point, placement>> running;
  for (int i = 0; i < 10000; ++i) {
    const time_point now = kStart + milliseconds(2 * i);
    std::erase_if(running, [&](const auto& one) {
      if (now < one.first) {
        return false;
      }
      balancer.RecordRequestEnded(one.second.upstream.id, one.second.work, true,
                                  upstream_outcome::kSuccess, now);
      return true;
    });
    placement_request request;
    request.service = "pool";
    request.availability_zone = "a";
    request.draw = uniform(random);
    const std::optional<placement> placed = balancer.Choose(request, now);
    REQUIRE(placed.has_value());
    const std::string& id = placed->upstream.id;
    const auto paused = paused_until.find(id);
    REQUIRE((paused == paused_until.end() || now >= paused->second));
    balancer.RecordRequestSent(id, placed->work, request.shape, now);
    const bool sheds = id < "u2" && uniform(random) < 0.2;
    if (sheds) {
      balancer.RecordRequestEnded(id, placed->work, false,
                                  upstream_outcome::kFull, now);
      balancer.RecordPause(placed->upstream, now + kPause, now);
      paused_until[id] = now + kPause;
      continue;
    }
    ++served[id];
    running.emplace_back(now + kRequestTime, *placed);
  }
  CHECK(paused_until.size() >= 2);
  CHECK(served.size() == kUpstreams);
  for (const auto& [id, count] : served) {
    INFO(id);
    CHECK(count < 3 * 10000 / kUpstreams);
  }
}

}  // namespace skylarkcroft
