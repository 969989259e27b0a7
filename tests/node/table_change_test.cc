#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>

#include "tests/node/scripted_node.h"

namespace skylarkcroft {
namespace {

using received_request = scripted_upstream::received_request;

TEST_CASE("a request goes on when an edit takes away what it runs on",
          "[node][table_change]") {
  std::optional<received_request> running;
  scripted_node node(
      [&](const received_request& request) { running = request; });
  node_fixture& fixture = node.fixture;
  std::optional<http_result> ended;
  const http_call_ptr call = fixture.client.Send(
      fixture.nodes[0]->callers_address(),
      node_fixture::Completion("p", 4, true), {},
      {{}, {}, [&](const http_result& result) { ended = result; }});
  REQUIRE(fixture.Until([&] { return running.has_value(); }));
  nlohmann::json pools = fixture.PoolsDocument();
  nlohmann::json routes = fixture.RoutesDocument();
  SECTION("its upstream") {
    pools["pools"][0]["upstreams"] = nlohmann::json::array();
    CHECK(fixture.Put("pools", pools).status == 200);
  }
  SECTION("its route and its pool") {
    routes["routes"].erase(0);
    pools["pools"].erase(0);
    CHECK(fixture.Put("routes", routes).status == 200);
    CHECK(fixture.Put("pools", pools).status == 200);
  }
  SECTION("its caller") {
    routes["callers"] = nlohmann::json::array();
    CHECK(fixture.Put("routes", routes).status == 200);
  }
  fixture.loop.RunFor(milliseconds(200));
  CHECK_FALSE(ended.has_value());
  running->write(scripted_node::Head() + scripted_node::Token(*running, 1) +
                 "data: [DONE]\n\n");
  running->close();
  REQUIRE(fixture.Until([&] { return ended.has_value(); }));
  CHECK(ended->response.status == 200);
}

}  // namespace
}  // namespace skylarkcroft
