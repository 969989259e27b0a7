#include <catch2/catch.hpp>
#include <optional>

#include "skylarkcroft/relay/skylarkcroft_upstream_connections.h"
#include "tests/relay/relay_fixture.h"

namespace skylarkcroft {
namespace {

using received_request = scripted_upstream::received_request;
using fixture = relay_fixture;

/// Opens a connection to the fixture's first upstream ahead of a request.
class opening {
 public:
  opening() {
    relay.connections.OpenIdle(
        "one", relay.first_upstream.address(),
        [this](connect_outcome reported) { outcome = reported; });
  }

  fixture relay;
  std::optional<connect_outcome> outcome;
};

}  // namespace

TEST_CASE("A connection opened ahead is used by the next request",
          "[relay][connections]") {
  opening run;
  CHECK_FALSE(run.outcome.has_value());
  REQUIRE(run.relay.Await([&] { return run.outcome.has_value(); }));
  CHECK(run.outcome == connect_outcome::kAccepted);
  run.relay.SetHandler([](const received_request& request) {
    request.write(fixture::Response(request, "done"));
  });
  run.relay.balancer.Remove("two", SteadyNow());
  run.relay.balancer.DropRemoved(SteadyNow() + milliseconds(60000));
  raw_client client(run.relay.loop, run.relay.server.address());
  client.Send(fixture::Request("/safe/", "r1"));
  REQUIRE(run.relay.Await([&] { return !run.relay.records.empty(); }));
  CHECK(run.relay.first_upstream.requests.size() == 1);
  CHECK(run.relay.first_upstream.connections == 1);
}

TEST_CASE("An upstream whose process has ended refuses connections",
          "[relay][connections]") {
  fixture relay;
  const endpoint address = relay.first_upstream.address();
  relay.first_upstream.StopListening();
  std::optional<connect_outcome> outcome;
  relay.connections.OpenIdle(
      "one", address, [&](connect_outcome reported) { outcome = reported; });
  REQUIRE(relay.Await([&] { return outcome.has_value(); }));
  CHECK(outcome == connect_outcome::kRefused);
}

TEST_CASE("A connection that is not answered in time tells nothing",
          "[relay][connections]") {
  opening run;
  run.relay.connections.CloseExpired(SteadyNow() + milliseconds(1000));
  CHECK(run.outcome == connect_outcome::kUnknown);
  run.relay.loop.RunFor(milliseconds(50));
  CHECK(run.outcome == connect_outcome::kUnknown);
}

// Guards against refusals that count as answers to an earlier request, on
// connections that have carried none.
TEST_CASE("A refusal on a connection opened ahead is believed",
          "[relay][connections][refusal][regression]") {
  opening run;
  REQUIRE(run.relay.Await([&] { return run.outcome.has_value(); }));
  run.relay.SetHandler([](const received_request& request) {
    request.write(
        "HTTP/1.1 503 Full\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n");
    request.close();
  });
  run.relay.balancer.Remove("two", SteadyNow());
  run.relay.balancer.DropRemoved(SteadyNow() + milliseconds(60000));
  raw_client client(run.relay.loop, run.relay.server.address());
  client.Send(fixture::Request("/once/", "r1"));
  REQUIRE(run.relay.Await([&] { return !run.relay.records.empty(); }));
  CHECK(run.relay.records.back().last_failure == "declined");
  CHECK(run.relay.records.back().status == 503);
}

}  // namespace skylarkcroft
