#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <utility>

#include "tests/node/raw_caller.h"
#include "tests/node/scripted_node.h"

namespace skylarkcroft {
namespace {

using Catch::Matchers::Contains;
using Catch::Matchers::StartsWith;
constexpr milliseconds kStopLimit{10000};
using received_request = scripted_upstream::received_request;

// A node with a short time for leaving and one scripted engine.
struct stopping_node : scripted_node {
  explicit stopping_node(scripted_upstream::handler answer,
                         milliseconds limit = milliseconds(400))
      : scripted_node(std::move(answer),
                      shutdown_settings{milliseconds(50), limit}) {}

  node& first() { return *fixture.nodes.front(); }
  // Runs the loop until the node has stopped it.
  void RunUntilStopped() {
    stopped_at_limit = false;
    const auto limit = fixture.loop.After(kStopLimit, [this] {
      stopped_at_limit = true;
      fixture.loop.Stop();
    });
    fixture.loop.Run();
    CHECK_FALSE(stopped_at_limit);
  }

  bool stopped_at_limit = false;
};

std::string OrderText(const std::string& path) {
  return "POST " + path + " HTTP/1.1\r\nHost: n\r\nAuthorization: Bearer " +
         kTestKey + "\r\nContent-Length: 1\r\n\r\na";
}

std::string CompletionText(bool stream) {
  const http_request asked = node_fixture::Completion("p", 4, stream);
  return "POST " + asked.target + " HTTP/1.1\r\nHost: n\r\nAuthorization: " +
         asked.headers.Get("Authorization") +
         "\r\nContent-Length: " + std::to_string(asked.body.size()) +
         "\r\n\r\n" + asked.body;
}

// Guards against requests that get no answer when the time for a planned stop
// runs out.
TEST_CASE("a request that is under way at the limit of a stop gets an error",
          "[node][planned_stop]") {
  const bool with_token = GENERATE(false, true);
  const int signals = GENERATE(1, 2);
  stopping_node node([&](const received_request& request) {
    if (with_token) {
      request.write(scripted_node::Head() + scripted_node::Token(request, 1));
    }
  });
  raw_caller caller(node.fixture.loop, node.first().callers_address());
  caller.Send(CompletionText(true));
  REQUIRE(node.fixture.Until([&] { return node.tries == 1; }));
  for (int sent = 0; sent < signals; ++sent) {
    node.first().Shutdown();
    node.fixture.loop.RunFor(milliseconds(20));
  }
  node.RunUntilStopped();
  node.fixture.nodes.clear();
  caller.ReadRest();
  CHECK_THAT(caller.received(),
             StartsWith(with_token ? "HTTP/1.1 200 " : "HTTP/1.1 503 "));
  CHECK_THAT(caller.received(), Contains("\"shutting_down\""));
  CHECK_THAT(caller.received(),
             Contains(with_token ? "\"ran\"" : "\"unknown\""));
}

// Guards against answers that are cut because they have been handed to the
// socket's buffer but not yet taken by the caller.
TEST_CASE("a stop waits until callers have taken their answers",
          "[node][planned_stop]") {
  constexpr size_t kBodyBytes = 8 * 1024 * 1024;
  stopping_node node([](const received_request&) {}, milliseconds(5000));
  scripted_upstream service(node.fixture.loop);
  service.SetHandler([&](const received_request& request) {
    if (request.head.method == "POST") {
      request.write(
          "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(kBodyBytes) +
          "\r\n\r\n" + std::string(kBodyBytes, 'x'));
    }
  });
  nlohmann::json pools = node.fixture.PoolsDocument();
  pools["pools"][0]["upstreams"] = {
      {{"name", "e1"},
       {"address", ToString(node.engine.address())},
       {"availability_zone", "cairo-a"}}};
  pools["pools"][1]["upstreams"] = {{{"name", "s1"},
                                     {"address", ToString(service.address())},
                                     {"availability_zone", "cairo-a"}}};
  node.fixture.Put("pools", pools);
  REQUIRE(node.fixture.Until(
      [&] { return node.fixture.RevisionOf(node.first()) == 3; }));
  raw_caller caller(node.fixture.loop, node.first().callers_address());
  caller.Send(OrderText("/orders"));
  REQUIRE(node.fixture.Until([&] { return caller.HasUnread(); }));
  node.first().Shutdown();
  const auto reading = node.fixture.loop.After(milliseconds(600),
                                               [&] { caller.ReadAsItComes(); });
  node.RunUntilStopped();
  node.fixture.nodes.clear();
  caller.ReadRest();
  CHECK(caller.received().size() > kBodyBytes);
}

// Guards against requests that lie whole in the socket when the node stops.
TEST_CASE("a request sent to a node that stops is answered as not run",
          "[node][planned_stop]") {
  stopping_node node([](const received_request&) {});
  raw_caller busy(node.fixture.loop, node.first().callers_address());
  busy.Send(CompletionText(true));
  REQUIRE(node.fixture.Until([&] { return node.tries == 1; }));
  raw_caller idle(node.fixture.loop, node.first().callers_address());
  node.fixture.loop.RunFor(milliseconds(20));
  node.first().Shutdown();
  node.fixture.loop.RunFor(milliseconds(100));
  idle.Send(CompletionText(true));
  node.RunUntilStopped();
  node.fixture.nodes.clear();
  idle.ReadRest();
  CHECK_THAT(idle.received(), StartsWith("HTTP/1.1 503 "));
  CHECK_THAT(idle.received(), Contains("\"not_run\""));
  CHECK_THAT(idle.received(), Contains("Connection: close"));
}

}  // namespace
}  // namespace skylarkcroft
