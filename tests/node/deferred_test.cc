#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <string>

#include "standins/engine/completion_text.h"
#include "tests/node/node_fixture.h"

namespace skylarkcroft {
namespace {

constexpr int kAccepted = 202;

http_request Deferred(http_request request) {
  request.headers.Add("Prefer", "respond-async");
  return request;
}

http_request ReadResult(const std::string& location) {
  http_request request;
  request.target = location;
  request.headers.Add("Authorization", std::string("Bearer ") + kTestKey);
  return request;
}

// Asks until the outcome is recorded.
http_response AwaitOutcome(node_fixture& fixture, const node& asked,
                           const std::string& location) {
  http_response reply;
  fixture.Until([&] {
    reply = fixture.Call(asked.callers_address(), ReadResult(location));
    return reply.status != kAccepted;
  });
  return reply;
}

TEST_CASE("a deferred request is accepted once stored and read from any node",
          "[node][deferred]") {
  node_fixture fixture(2);
  fixture.PutTables();
  const http_response accepted =
      fixture.Call(fixture.nodes[0]->callers_address(),
                   Deferred(node_fixture::Completion("night sheet", 6, false)));
  REQUIRE(accepted.status == kAccepted);
  const http_response result = AwaitOutcome(fixture, *fixture.nodes[1],
                                            accepted.headers.Get("Location"));
  CHECK(result.status == 200);
  CHECK(nlohmann::json::parse(result.body).at("choices").at(0).at("text") ==
        standin::CompletionText("m", "night sheet", 1, 6));
}

TEST_CASE("another node finishes what a node that died had accepted",
          "[node][deferred]") {
  node_fixture fixture(2);
  fixture.PutTables();
  std::vector<std::string> locations;
  for (int number = 0; number < 5; ++number) {
    const http_response accepted =
        fixture.Call(fixture.nodes[0]->callers_address(),
                     Deferred(node_fixture::Completion(
                         "p" + std::to_string(number), 200, false)));
    REQUIRE(accepted.status == kAccepted);
    locations.push_back(accepted.headers.Get("Location"));
  }
  fixture.nodes.erase(fixture.nodes.begin());
  for (int number = 0; number < 5; ++number) {
    const http_response result =
        AwaitOutcome(fixture, *fixture.nodes[0], locations[number]);
    REQUIRE(result.status == 200);
    CHECK(nlohmann::json::parse(result.body).at("choices").at(0).at("text") ==
          standin::CompletionText("m", "p" + std::to_string(number), 1, 200));
  }
}

TEST_CASE("a deferred request that may run only once does so",
          "[node][deferred][at-most-once]") {
  node_fixture fixture(2);
  fixture.PutTables();
  const http_response accepted =
      fixture.Call(fixture.nodes[0]->callers_address(),
                   Deferred(node_fixture::Order("d1", "diary")));
  REQUIRE(accepted.status == kAccepted);
  const http_response result = AwaitOutcome(fixture, *fixture.nodes[1],
                                            accepted.headers.Get("Location"));
  CHECK(result.status == 200);
  CHECK(fixture.RunsOf("d1") == 1);
}

TEST_CASE("a deferred request that cannot be stored is refused as not run",
          "[node][deferred][outage]") {
  node_fixture fixture;
  fixture.PutTables();
  fixture.SetPlatformFault({{"service", "tables"}, {"mode", "throttle"}});
  const http_response refused =
      fixture.Call(fixture.nodes[0]->callers_address(),
                   Deferred(node_fixture::Completion("x", 2, false)));
  CHECK(refused.status == 503);
  CHECK(nlohmann::json::parse(refused.body).at("run_state") == "not_run");
}

TEST_CASE("a failing upstream ends a deferred request only at its deadline",
          "[node][deferred]") {
  node_fixture fixture;
  fixture.PutTables();
  for (const auto& engine : fixture.engines) {
    fixture.SetFault(engine->address(), {{"mode", "error"}});
  }
  const endpoint& address = fixture.nodes[0]->callers_address();
  const http_response accepted = fixture.Call(
      address, Deferred(node_fixture::Completion("late", 3, false)));
  REQUIRE(accepted.status == kAccepted);
  const std::string location = accepted.headers.Get("Location");
  fixture.loop.RunFor(milliseconds(300));
  CHECK(fixture.Call(address, ReadResult(location)).status == kAccepted);
  for (const auto& engine : fixture.engines) {
    fixture.SetFault(engine->address(), {{"mode", "none"}});
  }
  CHECK(AwaitOutcome(fixture, *fixture.nodes[0], location).status == 200);
}

TEST_CASE("another caller cannot read a deferred result", "[node][deferred]") {
  node_fixture fixture;
  fixture.PutTables();
  const endpoint& address = fixture.nodes[0]->callers_address();
  const http_response accepted = fixture.Call(
      address, Deferred(node_fixture::Completion("mine", 2, false)));
  http_request other = ReadResult(accepted.headers.Get("Location"));
  other.headers = {{"Authorization", "Bearer other"}};
  CHECK(fixture.Call(address, other).status == 401);
}

}  // namespace
}  // namespace skylarkcroft
