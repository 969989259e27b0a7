#include <catch2/catch.hpp>
#include <list>

#include "tests/relay/relay_fixture.h"

namespace skylarkcroft {
namespace {

/// Two engines with one batch slot each, both taken. `/safe/` is the most
/// urgent route, `/once/` the least urgent one.
class full_service : public relay_fixture {
 public:
  explicit full_service(bool has_quota = true) {
    upstream_entry one = Entry("one", first_upstream);
    upstream_entry two = Entry("two", second_upstream);
    one.slots = 1;
    two.slots = 1;
    balancer.Reset({one, two}, SteadyNow());
    SetHandler([](const scripted_upstream::received_request&) {});
    map.pools.front().engine = engine_capacity{1, 100000};
    workspace_entry workspace;
    workspace.name = "w";
    workspace.keys = {"k"};
    workspace.tokens_per_second = has_quota ? 10000 : 0;
    workspace.burst_tokens = 10000;
    workspace.counts_tokens = true;
    map.workspaces = {workspace};
    map.routes[0].rank = 0;
    map.routes[1].rank = 2;
    Send("/safe/");
    Send("/safe/");
    REQUIRE(Await([&] { return RequestCount() == 2; }));
  }

  void Send(const std::string& path) {
    clients_.emplace_back(loop, server.address());
    clients_.back().Send(Request(path, "r" + std::to_string(clients_.size()),
                                 "X-Secret: k\r\nX-Tokens: 100,5\r\n"));
  }

 private:
  std::list<raw_client> clients_;
};

}  // namespace

// Guards against requests that are sent to full engines, which decline them or
// preempt running streams.
TEST_CASE("A service without room refuses less urgent requests at once",
          "[relay][service_room]") {
  full_service relay;
  relay.Send("/once/");
  REQUIRE(relay.Await([&] { return !relay.records.empty(); }));
  const request_record& refused = relay.records.front();
  CHECK(refused.status == 503);
  CHECK(refused.reason == "service_full");
  CHECK(refused.retry_after > milliseconds(0));
  CHECK(refused.service_fill >= 1);
  CHECK(relay.RequestCount() == 2);
  relay.Send("/safe/");
  CHECK(relay.Await([&] { return relay.RequestCount() == 3; }));
}

TEST_CASE("A refusal for lack of room returns the tokens of the quota",
          "[relay][service_room]") {
  full_service relay;
  const double before = relay.quotas.Level("w", {10000, 10000}, 1, SteadyNow());
  relay.Send("/once/");
  REQUIRE(relay.Await([&] { return !relay.records.empty(); }));
  CHECK(relay.quotas.Level("w", {10000, 10000}, 1, SteadyNow()) >= before);
}

TEST_CASE("Requests of workspaces without a quota are sent to full engines",
          "[relay][service_room]") {
  full_service relay(false);
  relay.Send("/once/");
  CHECK(relay.Await([&] { return relay.RequestCount() == 3; }));
}

}  // namespace skylarkcroft
