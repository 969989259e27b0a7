#include <catch2/catch.hpp>

#include "skylarkcroft/platform/skylarkcroft_cloud_api.h"
#include "skylarkcroft/platform/skylarkcroft_host_list.h"
#include "tests/platform/platform_fixture.h"

namespace skylarkcroft::standin {
namespace {

struct cloud_fixture : platform_fixture {
  explicit cloud_fixture(const platform_options& options = {},
                         milliseconds timeout = kTestLimit)
      : platform_fixture(options),
        cloud(MakeCloudApiClient(client, platform.address(), timeout)),
        list(MakeHostListClient(client, platform.address(), timeout)) {}

  start_result Start(const start_request& request) {
    return Await<start_result>(
        [&](auto done) { cloud->StartHost(request, done); });
  }
  end_outcome End(const std::string& id) {
    return Await<end_outcome>([&](auto done) { cloud->EndHost(id, done); });
  }
  std::vector<cloud_host> Hosts() {
    const auto result =
        Await<cloud_hosts_result>([&](auto done) { cloud->ListHosts(done); });
    REQUIRE(result.available);
    return result.hosts;
  }
  std::vector<reclaim_notice> Notices(int64_t after) {
    const auto result =
        Await<notices_result>([&](auto done) { cloud->Notices(after, done); });
    REQUIRE(result.available);
    return result.notices;
  }
  std::vector<listed_host> Listed() {
    return Await<host_list_result>([&](auto done) { list->Fetch(done); }).hosts;
  }

  std::unique_ptr<cloud_api> cloud;
  std::unique_ptr<host_list> list;
};

start_request Request(const std::string& token, bool reclaimable = true) {
  return {token, "assistant", "zone-a", "gpu", reclaimable};
}

TEST_CASE("prices are read as set", "[cloud]") {
  cloud_fixture fixture;
  fixture.Admin("prices", R"({"prices":[{"availability_zone":"zone-a",
      "machine_class":"gpu","reclaimable":0.75,"on_demand":2.5}]})");
  const auto result = fixture.Await<prices_result>(
      [&](auto done) { fixture.cloud->Prices(done); });
  CHECK(result == prices_result{true, {{"zone-a", "gpu", 0.75, 2.5}}});
}

TEST_CASE("a started host runs after its delay and then joins the host list",
          "[cloud]") {
  platform_options options;
  options.start_delay = milliseconds(1000);
  cloud_fixture fixture(options);
  fixture.Admin("addresses", R"({"availability_zone":"zone-a",
      "addresses":["127.0.0.1:7001"]})");
  const start_result started = fixture.Start(Request("t1"));
  REQUIRE(started.outcome == start_outcome::kStarted);
  CHECK(started.host.state == cloud_host_state::kStarting);
  CHECK(started.host.address == endpoint{"127.0.0.1", 7001});
  CHECK(fixture.Listed().empty());
  fixture.now += options.start_delay;
  CHECK(fixture.Hosts()[0].state == cloud_host_state::kRunning);
  REQUIRE(fixture.Listed().size() == 1);
  CHECK(fixture.Listed()[0].pool == "assistant");
  CHECK(fixture.End(started.host.id) == end_outcome::kEnded);
  CHECK(fixture.Hosts()[0].state == cloud_host_state::kEnded);
  CHECK(fixture.Listed().empty());
  CHECK(fixture.End("none") == end_outcome::kMissing);
}

TEST_CASE("a host that is ended while it starts never joins the host list",
          "[cloud]") {
  platform_options options;
  options.start_delay = milliseconds(1000);
  cloud_fixture fixture(options);
  CHECK(fixture.End(fixture.Start(Request("t1")).host.id) ==
        end_outcome::kEnded);
  fixture.now += options.start_delay;
  CHECK(fixture.Listed().empty());
}

TEST_CASE("a client token never starts a second host", "[cloud]") {
  cloud_fixture fixture;
  SECTION("after an answer") {
    const start_result first = fixture.Start(Request("t1"));
    CHECK(fixture.Start(Request("t1")) == first);
  }
  SECTION("after a lost answer") {
    fixture.Admin("fault",
                  R"({"service":"cloud","mode":"lose_answer","count":1})");
    CHECK(fixture.Start(Request("t1")).outcome == start_outcome::kUnknown);
    CHECK(fixture.Start(Request("t1")).outcome == start_outcome::kStarted);
  }
  SECTION("for another kind of host") {
    CHECK(fixture.Start(Request("t1")).outcome == start_outcome::kStarted);
    CHECK(fixture.Start(Request("t1", false)).outcome ==
          start_outcome::kRejected);
  }
  CHECK(fixture.Hosts().size() == 1);
  CHECK(fixture.Start(Request("t2")).outcome == start_outcome::kStarted);
  CHECK(fixture.Hosts().size() == 2);
}

TEST_CASE("a start beyond the capacity is refused", "[cloud]") {
  cloud_fixture fixture;
  fixture.Admin("capacity", R"({"availability_zone":"zone-a",
      "machine_class":"gpu","reclaimable":true,"available":1})");
  const start_result first = fixture.Start(Request("t1"));
  CHECK(first.outcome == start_outcome::kStarted);
  CHECK(fixture.Start(Request("t2")).outcome == start_outcome::kNoCapacity);
  CHECK(fixture.Start(Request("t3", false)).outcome == start_outcome::kStarted);
  CHECK(fixture.Hosts().size() == 2);
  SECTION("until a host has ended, once") {
    CHECK(fixture.End(first.host.id) == end_outcome::kEnded);
    CHECK(fixture.End(first.host.id) == end_outcome::kEnded);
    CHECK(fixture.Start(Request("t2")).outcome == start_outcome::kStarted);
    CHECK(fixture.Start(Request("t4")).outcome == start_outcome::kNoCapacity);
  }
}

TEST_CASE("notices come in order and end reclaimable hosts", "[cloud]") {
  cloud_fixture fixture;
  const cloud_host first = fixture.Start(Request("t1")).host;
  const cloud_host kept = fixture.Start(Request("t2", false)).host;
  fixture.Admin("reclaim",
                R"({"availability_zone":"zone-a","notice_ms":2000})");
  const cloud_host late = fixture.Start(Request("t3")).host;
  fixture.Admin("reclaim", R"({"addresses":[")" + ToString(late.address) +
                               R"("],"notice_ms":3000})");
  const int64_t wall_ms = platform_fixture::kWallMs;
  const std::vector<reclaim_notice> notices = fixture.Notices(0);
  CHECK(notices == std::vector<reclaim_notice>{
                       {1, first.id, first.address, "zone-a", wall_ms + 2000},
                       {2, late.id, late.address, "zone-a", wall_ms + 3000}});
  CHECK(fixture.Notices(1) == std::vector<reclaim_notice>{notices[1]});
  CHECK(fixture.Notices(2).empty());
  fixture.now += milliseconds(2000);
  const std::vector<cloud_host> hosts = fixture.Hosts();
  CHECK(hosts[0].state == cloud_host_state::kEnded);
  CHECK(hosts[1].state == cloud_host_state::kRunning);
  CHECK(hosts[2].state == cloud_host_state::kRunning);
  const std::vector<listed_host> listed = fixture.Listed();
  REQUIRE(listed.size() == 2);
  CHECK(listed[0].id == kept.id);
  CHECK(listed[0].state == host_state::kLive);
  CHECK(listed[1].state == host_state::kLeaving);
}

TEST_CASE("faults of the cloud give each its outcome", "[cloud][fault]") {
  cloud_fixture fixture({}, milliseconds(100));
  SECTION("an outage") {
    fixture.Admin("fault", R"({"service":"cloud","mode":"outage","count":2})");
    CHECK(fixture.Start(Request("t1")).outcome == start_outcome::kUnknown);
    CHECK(fixture.End("host-1") == end_outcome::kUnknown);
  }
  SECTION("a hang") {
    fixture.Admin("fault", R"({"service":"cloud","mode":"hang","count":1})");
    CHECK(fixture.Start(Request("t1")).outcome == start_outcome::kUnknown);
  }
  SECTION("a throttled call") {
    fixture.Admin("fault",
                  R"({"service":"cloud","mode":"throttle","count":2})");
    CHECK(fixture.Start(Request("t1")).outcome == start_outcome::kRejected);
    CHECK(fixture.End("host-1") == end_outcome::kRejected);
  }
  CHECK(fixture.Hosts().empty());
}

}  // namespace
}  // namespace skylarkcroft::standin
