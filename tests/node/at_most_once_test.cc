#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>

#include "tests/node/node_fixture.h"

namespace skylarkcroft {
namespace {

std::string RunStateOf(const http_response& reply) {
  return nlohmann::json::parse(reply.body).at("run_state").get<std::string>();
}

std::string ReasonOf(const http_response& reply) {
  return nlohmann::json::parse(reply.body).at("reason").get<std::string>();
}

TEST_CASE("a keyed request runs once and is replayed through any node",
          "[node][at-most-once]") {
  node_fixture fixture(2);
  fixture.PutTables();
  const http_request order = node_fixture::Order("k1", "one");
  const http_response first =
      fixture.Call(fixture.nodes[0]->callers_address(), order);
  const http_response second =
      fixture.Call(fixture.nodes[1]->callers_address(), order);
  CHECK(first.status == 200);
  CHECK(second.status == 200);
  CHECK(first.body == second.body);
  CHECK(fixture.RunsOf("k1") == 1);
}

TEST_CASE("one key sent through two nodes at once runs once",
          "[node][at-most-once]") {
  node_fixture fixture(2);
  fixture.PutTables();
  std::vector<http_result> ended;
  std::vector<http_call_ptr> calls;
  constexpr int kCalls = 6;
  calls.reserve(kCalls);
  for (int number = 0; number < kCalls; ++number) {
    calls.push_back(fixture.client.Send(
        fixture.nodes[static_cast<size_t>(number) % 2]->callers_address(),
        node_fixture::Order("k2", "same"), {},
        {{}, {}, [&](const http_result& result) { ended.push_back(result); }}));
  }
  REQUIRE(fixture.Until([&] { return ended.size() == calls.size(); }));
  for (const http_result& result : ended) {
    CHECK(result.response.status == 200);
    CHECK(result.response.body == ended.front().response.body);
  }
  CHECK(fixture.RunsOf("k2") == 1);
}

TEST_CASE("a key sent again with another body is refused",
          "[node][at-most-once]") {
  node_fixture fixture;
  fixture.PutTables();
  const endpoint& address = fixture.nodes[0]->callers_address();
  CHECK(fixture.Call(address, node_fixture::Order("k3", "a")).status == 200);
  const http_response reused =
      fixture.Call(address, node_fixture::Order("k3", "b"));
  CHECK(reused.status == 422);
  CHECK(RunStateOf(reused) == "not_run");
  CHECK(fixture.RunsOf("k3") == 1);
}

TEST_CASE("a lost answer of an upstream is never answered by a second run",
          "[node][at-most-once]") {
  node_fixture fixture;
  SECTION("with a key") {
    fixture.PutTables();
    for (const auto& service : fixture.services) {
      fixture.SetFault(service->address(), {{"mode", "lose_answer"}});
    }
    const endpoint& address = fixture.nodes[0]->callers_address();
    const http_request order = node_fixture::Order("k4", "a");
    const http_response lost = fixture.Call(address, order);
    CHECK(ReasonOf(lost) == "outcome_unknown");
    CHECK(RunStateOf(lost) == "unknown");
    CHECK(RunStateOf(fixture.Call(address, order)) == "unknown");
    CHECK(fixture.RunsOf("k4") == 1);
  }
  SECTION("without a key") {
    fixture.PutTables();
    for (const auto& service : fixture.services) {
      fixture.SetFault(service->address(), {{"mode", "lose_answer"}});
    }
    const http_response lost = fixture.Call(fixture.nodes[0]->callers_address(),
                                            node_fixture::Order("", "a"));
    CHECK(RunStateOf(lost) == "unknown");
    CHECK(fixture.AllRuns() == 1);
  }
  SECTION("where the upstream can be asked, its outcome is found") {
    fixture.outcomes_readable = true;
    fixture.PutTables();
    for (const auto& service : fixture.services) {
      fixture.SetFault(service->address(),
                       {{"mode", "lose_answer"}, {"count", 1}});
    }
    const http_response found = fixture.Call(
        fixture.nodes[0]->callers_address(), node_fixture::Order("k5", "a"));
    CHECK(found.status == 200);
    CHECK(fixture.RunsOf("k5") == 1);
  }
}

TEST_CASE("an upstream's word that it did not run allows another try",
          "[node][at-most-once]") {
  node_fixture fixture;
  fixture.PutTables();
  fixture.SetFault(fixture.services[0]->address(), {{"mode", "not_run"}});
  for (int number = 0; number < 6; ++number) {
    const std::string key = "n" + std::to_string(number);
    CHECK(fixture
              .Call(fixture.nodes[0]->callers_address(),
                    node_fixture::Order(key, "a"))
              .status == 200);
    CHECK(fixture.RunsOf(key) == 1);
  }
}

TEST_CASE("while the table service is down only keyed requests are refused",
          "[node][at-most-once][outage]") {
  node_fixture fixture;
  fixture.PutTables();
  fixture.SetPlatformFault({{"service", "tables"}, {"mode", "outage"}});
  const endpoint& address = fixture.nodes[0]->callers_address();
  const http_response refused =
      fixture.Call(address, node_fixture::Order("k6", "a"));
  CHECK(refused.status == 503);
  CHECK(RunStateOf(refused) == "not_run");
  CHECK(fixture.RunsOf("k6") == 0);
  fixture.SetPlatformFault({{"service", "tables"}, {"mode", "none"}});
  REQUIRE(fixture.Until([&] {
    return fixture.Call(address, node_fixture::Order("k6", "a")).status == 200;
  }));
  CHECK(fixture.RunsOf("k6") == 1);
}

TEST_CASE("lost answers of the table service neither repeat nor lose a run",
          "[node][at-most-once][outage]") {
  node_fixture fixture;
  fixture.PutTables();
  fixture.SetPlatformFault(
      {{"service", "tables"}, {"mode", "lose_answer"}, {"probability", 0.5}});
  const endpoint& address = fixture.nodes[0]->callers_address();
  for (int number = 0; number < 10; ++number) {
    const std::string key = "l" + std::to_string(number);
    const http_response reply =
        fixture.Call(address, node_fixture::Order(key, "a"));
    CAPTURE(number, reply.status, reply.body);
    CHECK(fixture.RunsOf(key) <= 1);
    if (reply.status == 200) {
      CHECK(fixture.RunsOf(key) == 1);
    } else if (RunStateOf(reply) == "not_run") {
      CHECK(fixture.RunsOf(key) == 0);
    }
  }
}

}  // namespace
}  // namespace skylarkcroft
