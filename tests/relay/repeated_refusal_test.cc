#include <catch2/catch.hpp>
#include <string>

#include "tests/relay/relay_fixture.h"

namespace skylarkcroft {
namespace {

using received_request = scripted_upstream::received_request;
using fixture = relay_fixture;

std::string Refusal(const std::string& id) {
  return "HTTP/1.1 503 Full\r\nX-Not-Run: 1\r\n" +
         (id.empty() ? "" : "X-Id: " + id + "\r\n") +
         "Content-Length: 0\r\n\r\n";
}

}  // namespace

// Guards against 'not run', or a second run, for a request that an upstream
// runs after it has written an earlier refusal once more.
TEST_CASE("A refusal that is repeated on a kept connection is not believed",
          "[relay][refusal][regression]") {
  fixture relay;
  // A copy names the earlier request or none.
  const std::string copy_id = GENERATE(as<std::string>{}, "first", "");
  const std::string path =
      GENERATE(as<std::string>{}, "/once/", "/stream/", "/safe/");
  relay.SetHandler([&](const received_request& request) {
    request.write(fixture::Response(request, "idle"));
  });
  relay.OpenIdleConnections();
  const size_t before = relay.RequestCount();
  relay.SetHandler([&](const received_request& request) {
    request.write(Refusal(copy_id));
    request.write(fixture::Response(request, "done"));
  });
  raw_client client(relay.loop, relay.server.address());
  client.Send(fixture::Request(path, "r1"));
  REQUIRE(relay.Await(
      [&] { return client.received.find("\r\n\r\n") != std::string::npos; }));
  CHECK_THAT(client.received, !Catch::Matchers::StartsWith("HTTP/1.1 503"));
  if (path != "/safe/") {
    CHECK(relay.RequestCount() == before + 1);
  }
}

// Guards against a copy that is read only with the next request in flight.
TEST_CASE("A kept connection with unread bytes is not used again",
          "[relay][refusal][regression]") {
  fixture relay;
  relay.SetHandler([&](const received_request& request) {
    const std::string id = request.head.headers.Get("X-Id");
    request.write(fixture::Response(request, "done") + Refusal(id));
  });
  relay.OpenIdleConnections();
  const size_t before = relay.RequestCount();
  raw_client client(relay.loop, relay.server.address());
  client.Send(fixture::Request("/once/", "r1"));
  REQUIRE(relay.Await(
      [&] { return client.received.find("done") != std::string::npos; }));
  CHECK(relay.RequestCount() == before + 1);
}

// Guards against a copy that names the request itself, which is sent to the
// same upstream again.
TEST_CASE("A request is not repeated on the connection that refused it",
          "[relay][refusal][regression]") {
  fixture relay;
  relay.balancer.Remove("two", SteadyNow());
  relay.balancer.OnStoreContact(true, SteadyNow());
  relay.balancer.Remove("two", SteadyNow());
  relay.balancer.DropRemoved(SteadyNow() + milliseconds(5000));
  REQUIRE(relay.balancer.UsableCount("pool") == 1);
  relay.first_upstream.SetHandler([&](const received_request& request) {
    const std::string id = request.head.headers.Get("X-Id");
    if (relay.RequestCount() == 1) {
      request.write(Refusal(id));
      return;
    }
    if (relay.first_upstream.connections == 1) {
      request.write(Refusal(id));
    }
    request.write(fixture::Response(request, "done"));
  });
  raw_client client(relay.loop, relay.server.address());
  client.Send(fixture::Request("/once/", "r1"));
  REQUIRE(relay.Await([&] { return !relay.records.empty(); }));
  relay.loop.RunFor(milliseconds(50));
  CHECK_THAT(client.received, Catch::Matchers::Contains("done"));
}

}  // namespace skylarkcroft
