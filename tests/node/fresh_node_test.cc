#include <catch2/catch.hpp>
#include <string>

#include "tests/node/node_fixture.h"

namespace skylarkcroft {
namespace {

TEST_CASE("a node that was just started sends nothing to a leaving upstream",
          "[node][leaving]") {
  node_fixture fixture(1, 2);
  fixture.PutTables();
  http_request leave;
  leave.method = "POST";
  leave.target = "/admin/leave";
  leave.body = R"({"notice_ms":60000})";
  REQUIRE(fixture.Call(fixture.engines[0]->address(), leave).status == 200);
  // Its reports lag, so it shows as leaving a little later.
  REQUIRE(fixture.Until([&] {
    const std::string body =
        fixture.Get(fixture.engines[0]->address(), "/load").body;
    return nlohmann::json::parse(body).at("leaving").get<bool>();
  }));
  const node& fresh = fixture.AddNode();
  REQUIRE(fixture.Until([&] {
    return fixture.Get(fresh.callers_address(), "/readyz").status == 200;
  }));
  for (int number = 0; number < 10; ++number) {
    const std::string prompt = "question " + std::to_string(number);
    const http_request request = node_fixture::Completion(prompt, 1, false);
    CHECK(fixture.Call(fresh.callers_address(), request).status == 200);
  }
  CHECK(fixture.engines[0]->stats().received_while_leaving == 0);
}

}  // namespace
}  // namespace skylarkcroft
