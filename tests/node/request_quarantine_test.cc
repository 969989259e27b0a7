#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <string>

#include "tests/node/node_fixture.h"

namespace skylarkcroft {
namespace {

// Breaks at one upstream within a second count as one crash.
constexpr milliseconds kBetweenCrashes{1100};
constexpr int kCrashes = 3;

void Wait(node_fixture& fixture, milliseconds span) {
  const time_point end = SteadyNow() + span;
  fixture.Until([&] { return SteadyNow() >= end; });
}

// Every upstream breaks off its answers after `tokens` tokens or bytes.
void SetCrashes(node_fixture& fixture, int tokens) {
  for (const auto& engine : fixture.engines) {
    fixture.SetFault(engine->address(),
                     {{"mode", "break_after"}, {"tokens", tokens}});
  }
  for (const auto& service : fixture.services) {
    fixture.SetFault(service->address(),
                     {{"mode", "break_after"}, {"tokens", tokens}});
  }
}

void EndCrashes(node_fixture& fixture) {
  for (const auto& engine : fixture.engines) {
    fixture.SetFault(engine->address(), {{"mode", "none"}});
  }
  for (const auto& service : fixture.services) {
    fixture.SetFault(service->address(), {{"mode", "none"}});
  }
}

// Sends `request` until it is rejected, at most kCrashes times; returns how
// often it was not.
int SendUntilRejected(node_fixture& fixture, const http_request& request) {
  const endpoint callers = fixture.nodes[0]->callers_address();
  for (int sent = 0; sent < kCrashes; ++sent) {
    if (fixture.Call(callers, request).status == 503) {
      return sent;
    }
    Wait(fixture, kBetweenCrashes);
  }
  return kCrashes;
}

void CheckRejected(const http_response& reply) {
  REQUIRE(reply.status == 503);
  const nlohmann::json problem = nlohmann::json::parse(reply.body);
  CHECK(problem.at("reason") == "request_quarantined");
  CHECK(problem.at("run_state") == "not_run");
  CHECK_FALSE(reply.headers.Get("Retry-After").empty());
}

}  // namespace

// Guards against a request of a plain service that ends one upstream after the
// other.
TEST_CASE("a request under which services crashed is rejected",
          "[node][crashing_request][regression]") {
  node_fixture fixture;
  fixture.PutTables();
  const endpoint callers = fixture.nodes[0]->callers_address();
  SetCrashes(fixture, 0);
  SendUntilRejected(fixture, node_fixture::Order("", "deadly"));
  CheckRejected(fixture.Call(callers, node_fixture::Order("", "deadly")));
  EndCrashes(fixture);
  CheckRejected(fixture.Call(callers, node_fixture::Order("", "deadly")));
  CHECK(fixture.Call(callers, node_fixture::Order("", "sound")).status == 200);
}

// Guards against a prompt that ends one engine after the other long after the
// first token, or whose parts are in common use.
TEST_CASE("a prompt under which engines crashed late is rejected",
          "[node][crashing_request][regression]") {
  node_fixture fixture;
  fixture.PutTables();
  const endpoint callers = fixture.nodes[0]->callers_address();
  constexpr int kTokens = 400;
  constexpr int kTokensBeforeCrash = 50;
  SetCrashes(fixture, kTokensBeforeCrash);
  const http_request deadly =
      node_fixture::Completion("deadly", kTokens, false);
  SendUntilRejected(fixture, deadly);
  CheckRejected(fixture.Call(callers, deadly));
  EndCrashes(fixture);
  CheckRejected(fixture.Call(callers, deadly));
  CHECK(fixture.Call(callers, node_fixture::Completion("sound", kTokens, false))
            .status == 200);
}

// Guards against nodes that each let a request end upstreams of their own.
TEST_CASE("a request that crashed services at one node is rejected at another",
          "[node][crashing_request][regression]") {
  node_fixture fixture(2);
  fixture.PutTables();
  SetCrashes(fixture, 0);
  SendUntilRejected(fixture, node_fixture::Order("", "deadly"));
  EndCrashes(fixture);
  const endpoint other = fixture.nodes[1]->callers_address();
  CheckRejected(fixture.Call(other, node_fixture::Order("", "deadly")));
}

// Guards against sound requests that are rejected because one of their kind is
// often at work where upstreams fail for other reasons.
TEST_CASE("a request that ends well between crashes is not rejected",
          "[node][crashing_request]") {
  node_fixture fixture;
  fixture.PutTables();
  const endpoint callers = fixture.nodes[0]->callers_address();
  const http_request alike = node_fixture::Order("", "alike");
  for (int crash = 0; crash < kCrashes + 1; ++crash) {
    SetCrashes(fixture, 0);
    CHECK(fixture.Call(callers, alike).status != 503);
    EndCrashes(fixture);
    CHECK(fixture.Call(callers, alike).status == 200);
    Wait(fixture, kBetweenCrashes);
  }
}

}  // namespace skylarkcroft
