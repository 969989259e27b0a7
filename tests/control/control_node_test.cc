#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <string>

#include "tests/node/node_fixture.h"

namespace skylarkcroft {
namespace {

/// Stores a pools table that deploys `version` on the engines.
http_response Deploy(node_fixture& fixture, const std::string& version) {
  nlohmann::json document = fixture.PoolsDocument();
  document["pools"][0]["deployment"] = {{"model", "m"}, {"version", version}};
  return fixture.Put("pools", document);
}

nlohmann::json OrdersOf(node_fixture& fixture, size_t engine) {
  const http_response reply =
      fixture.Get(fixture.engines[engine]->address(), "/orders");
  return nlohmann::json::parse(reply.body);
}

bool Serves(node_fixture& fixture, size_t engine, const std::string& version) {
  const nlohmann::json orders = OrdersOf(fixture, engine);
  return !orders.at("loading").get<bool>() &&
         orders.at("actual").at("version") == version &&
         !orders.at("actual").at("draining").get<bool>();
}

bool ServesAny(node_fixture& fixture, size_t engine) {
  return Serves(fixture, engine, "1") || Serves(fixture, engine, "2");
}

bool AllServe(node_fixture& fixture, const std::string& version) {
  for (size_t engine = 0; engine < fixture.engines.size(); ++engine) {
    if (!Serves(fixture, engine, version)) {
      return false;
    }
  }
  return true;
}

nlohmann::json ControlOf(node_fixture& fixture, size_t index = 0) {
  const http_response reply = fixture.Get(
      fixture.nodes[index]->operators_address(), "/operators/status");
  return nlohmann::json::parse(reply.body).at("control");
}

}  // namespace

TEST_CASE("A node brings the engines to the deployment in the pools table",
          "[control][node]") {
  node_fixture fixture;
  fixture.PutTables();
  CHECK(ControlOf(fixture).at("pools").empty());
  REQUIRE(Deploy(fixture, "1").status == 200);
  REQUIRE(fixture.Until([&] { return AllServe(fixture, "1"); }));
  REQUIRE(Deploy(fixture, "2").status == 200);
  bool some_served = true;
  REQUIRE(fixture.Until([&] {
    // The first engine is checked again, because it may start to serve between
    // the first two checks.
    some_served =
        some_served && (ServesAny(fixture, 0) || ServesAny(fixture, 1) ||
                        ServesAny(fixture, 0));
    return AllServe(fixture, "2");
  }));
  CHECK(some_served);
  const nlohmann::json control = ControlOf(fixture);
  REQUIRE(control.at("pools").size() == 1);
  const nlohmann::json& pool = control.at("pools")[0];
  CHECK(pool.at("holder") == "n1");
  CHECK(pool.at("fence") == 1);
  CHECK(pool.at("may_act") == true);
  CHECK_FALSE(pool.at("orders").at("last_orders").empty());
}

TEST_CASE("A node that shuts down releases its lease to another node",
          "[control][node]") {
  node_fixture fixture(2);
  fixture.PutTables();
  REQUIRE(Deploy(fixture, "1").status == 200);
  const auto acts = [&](size_t index) {
    const nlohmann::json control = ControlOf(fixture, index);
    return !control.at("pools").empty() &&
           control.at("pools")[0].at("may_act").get<bool>();
  };
  REQUIRE(fixture.Until([&] { return acts(0) || acts(1); }));
  const size_t holder = acts(0) ? 0 : 1;
  const size_t other = 1 - holder;
  CHECK_FALSE(acts(other));
  fixture.nodes[holder]->Shutdown();
  REQUIRE(fixture.Until([&] { return acts(other); }));
  CHECK(ControlOf(fixture, other).at("pools")[0].at("fence") == 2);
  REQUIRE(fixture.Until([&] { return AllServe(fixture, "1"); }));
}

}  // namespace skylarkcroft
