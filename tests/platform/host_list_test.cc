#include <catch2/catch.hpp>

#include "skylarkcroft/platform/skylarkcroft_host_list.h"
#include "standins/platform/skylarkcroft_lagging_host_list.h"
#include "tests/platform/platform_fixture.h"

namespace skylarkcroft::standin {
namespace {

constexpr milliseconds kLag{1000};
const time_point kStart{std::chrono::hours(1)};

listed_host Host(const std::string& id, int64_t incarnation = 1) {
  return {id,       host_kind::kUpstream, "pool",           {"127.0.0.1", 80},
          "zone-a", incarnation,          host_state::kLive};
}

TEST_CASE("the host list shows each change after the lag", "[hosts]") {
  lagging_host_list list(kLag);
  list.Replace({Host("a")}, kStart);
  CHECK(list.Visible(kStart + milliseconds(999)).hosts.empty());
  CHECK(list.Truth(kStart).hosts == std::vector<listed_host>{Host("a")});
  list.Add(Host("b"), kStart + milliseconds(500));
  const host_list_snapshot first = list.Visible(kStart + kLag);
  CHECK(first.hosts == std::vector<listed_host>{Host("a")});
  const host_list_snapshot second =
      list.Visible(kStart + kLag + milliseconds(500));
  CHECK(second.hosts == std::vector<listed_host>{Host("a"), Host("b")});
  CHECK(second.version > first.version);
  CHECK(list.Visible(kStart + std::chrono::hours(1)) == second);
}

TEST_CASE("leaving and removal touch only the same incarnation", "[hosts]") {
  lagging_host_list list(duration::zero());
  list.Replace({Host("a", 2), Host("b")}, kStart);
  list.Leave(Host("a", 1), kStart);
  list.Leave(Host("b"), kStart);
  list.Remove(Host("a", 1), kStart);
  const std::vector<listed_host> hosts = list.Visible(kStart).hosts;
  REQUIRE(hosts.size() == 2);
  CHECK(hosts[0].state == host_state::kLive);
  CHECK(hosts[1].state == host_state::kLeaving);
  list.Remove(Host("b"), kStart + milliseconds(1));
  CHECK(list.Visible(kStart + milliseconds(1)).hosts.size() == 1);
}

struct host_list_fixture : platform_fixture {
  explicit host_list_fixture(const platform_options& options = {})
      : platform_fixture(options),
        hosts(MakeHostListClient(client, platform.address(), kTestLimit)) {}

  host_list_result Fetch() {
    return Await<host_list_result>([&](auto done) { hosts->Fetch(done); });
  }

  std::unique_ptr<host_list> hosts;
};

platform_options Lagging() {
  platform_options options;
  options.host_list_lag = kLag;
  return options;
}

constexpr char kTwoHosts[] = R"({"hosts":[
    {"id":"n1","kind":"node","pool":"","address":"127.0.0.1:1000",
     "availability_zone":"zone-a","incarnation":3,"state":"live"},
    {"id":"u1","kind":"upstream","pool":"assistant",
     "address":"[::1]:1001","availability_zone":"zone-b","incarnation":1,
     "state":"leaving"}]})";

TEST_CASE("a fetched list holds what was set, after the lag", "[hosts]") {
  host_list_fixture fixture(Lagging());
  fixture.Admin("hosts", kTwoHosts);
  CHECK(fixture.Fetch() == host_list_result{true, 0, {}});
  fixture.now += kLag;
  const host_list_result shown = fixture.Fetch();
  CHECK(shown.version == 1);
  CHECK(shown.hosts == std::vector<listed_host>{{"n1",
                                                 host_kind::kNode,
                                                 "",
                                                 {"127.0.0.1", 1000},
                                                 "zone-a",
                                                 3,
                                                 host_state::kLive},
                                                {"u1",
                                                 host_kind::kUpstream,
                                                 "assistant",
                                                 {"::1", 1001},
                                                 "zone-b",
                                                 1,
                                                 host_state::kLeaving}});
}

TEST_CASE("a reclaimed host shows as leaving after the lag, then is gone",
          "[hosts]") {
  host_list_fixture fixture(Lagging());
  fixture.Admin("hosts", kTwoHosts);
  fixture.now += kLag;
  SECTION("by availability zone") {
    fixture.Admin("reclaim",
                  R"({"availability_zone":"zone-a","notice_ms":5000})");
  }
  SECTION("by address") {
    fixture.Admin("reclaim",
                  R"({"addresses":["127.0.0.1:1000"],"notice_ms":5000})");
  }
  CHECK(fixture.Fetch().hosts[0].state == host_state::kLive);
  fixture.now += kLag;
  CHECK(fixture.Fetch().hosts[0].state == host_state::kLeaving);
  fixture.now += milliseconds(5000);
  const host_list_result later = fixture.Fetch();
  REQUIRE(later.hosts.size() == 1);
  CHECK(later.hosts[0].id == "u1");
}

TEST_CASE("a list that cannot be read is not an empty list", "[hosts][fault]") {
  host_list_fixture fixture;
  SECTION("an outage") {
    fixture.Admin("fault", R"({"service":"hosts","mode":"outage"})");
  }
  SECTION("a throttled call") {
    fixture.Admin("fault", R"({"service":"all","mode":"throttle"})");
  }
  CHECK_FALSE(fixture.Fetch().available);
  fixture.Admin("fault", R"({"service":"all","mode":"none"})");
  CHECK(fixture.Fetch().available);
}

}  // namespace
}  // namespace skylarkcroft::standin
