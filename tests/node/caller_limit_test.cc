#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "tests/node/node_fixture.h"

namespace skylarkcroft {
namespace {

TEST_CASE("a caller over its limit is refused as not run, with a time",
          "[node][limits]") {
  node_fixture fixture;
  nlohmann::json routes = fixture.RoutesDocument();
  routes["callers"][0]["limits"] = {{"requests_per_s", 1}};
  fixture.Put("pools", fixture.PoolsDocument());
  fixture.Put("routes", routes);
  const endpoint& callers = fixture.nodes[0]->callers_address();
  REQUIRE(fixture.Until(
      [&] { return fixture.Get(callers, "/readyz").status == 200; }));
  http_response reply;
  int answered = 0;
  REQUIRE(fixture.Until([&] {
    reply = fixture.Call(callers, node_fixture::Completion("a stop", 2, false));
    answered += reply.status == 200 ? 1 : 0;
    return reply.status != 200 && answered > 0;
  }));
  CHECK(reply.status == 429);
  CHECK_FALSE(reply.headers.Get("Retry-After").empty());
  const nlohmann::json document = nlohmann::json::parse(reply.body);
  CHECK(document.at("reason") == "over_caller_limit");
  CHECK(document.at("run_state") == "not_run");
}

}  // namespace
}  // namespace skylarkcroft
