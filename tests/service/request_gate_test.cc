#include <catch2/catch.hpp>
#include <memory>

#include "skylarkcroft/service/skylarkcroft_request_gate.h"

namespace skylarkcroft {
namespace {

constexpr time_point kStart{std::chrono::seconds(100)};

service_route Route(const std::string& name, const std::string& prefix) {
  service_route route;
  route.name = name;
  route.host = "Shop.example";
  route.path_prefix = prefix;
  route.services = {{"desk", 1}};
  return route;
}

tables_snapshot View() {
  service_map map;
  map.version = 7;
  map.routes = {Route("short", "/a/"), Route("long", "/a/b/"),
                Route("open", "/open/")};
  map.routes.back().anonymous_allowed = true;
  map.workspaces = {{"north", {"key-n"}, 1, 0, 0, 1, false}};
  return {std::make_shared<const service_lookup>(map), kStart};
}

gate_decision Decide(const gate_request& request, milliseconds age) {
  static const tables_snapshot kView = View();
  return DecideGate(request, kView, gate_parameters{}, kStart + age);
}

}  // namespace

TEST_CASE("The route of the host with the longest matching prefix is chosen",
          "[gate]") {
  const gate_decision decision =
      Decide({"shop.example:80", "/a/b/c", "key-n"}, milliseconds(0));
  CHECK(decision.verdict == gate_verdict::kPass);
  REQUIRE(decision.route != nullptr);
  CHECK(decision.route->name == "long");
  REQUIRE(decision.workspace != nullptr);
  CHECK(decision.workspace->name == "north");
}

TEST_CASE("Unknown routes and keys are denied only on tables at most 2 s old",
          "[gate]") {
  const milliseconds fresh(1999);
  const milliseconds stale(2001);
  CHECK(Decide({"shop.example", "/x/", "key-n"}, fresh).verdict ==
        gate_verdict::kNoRoute);
  CHECK(Decide({"shop.example", "/x/", "key-n"}, stale).verdict ==
        gate_verdict::kTablesStale);
  CHECK(Decide({"shop.example", "/a/", "key-x"}, fresh).verdict ==
        gate_verdict::kUnknownKey);
  CHECK(Decide({"shop.example", "/a/", "key-x"}, stale).verdict ==
        gate_verdict::kTablesStale);
  CHECK(Decide({"shop.example", "/a/", std::nullopt}, fresh).verdict ==
        gate_verdict::kUnknownKey);
}

TEST_CASE("A node that cannot reach the store accepts keys for at most 3.5 s",
          "[gate][revocation]") {
  CHECK(Decide({"shop.example", "/a/", "key-n"}, milliseconds(3500)).verdict ==
        gate_verdict::kPass);
  CHECK(Decide({"shop.example", "/a/", "key-n"}, milliseconds(3501)).verdict ==
        gate_verdict::kTablesStale);
}

TEST_CASE("Anonymous requests are served whatever the age of the tables",
          "[gate]") {
  const gate_decision decision =
      Decide({"shop.example", "/open/", std::nullopt}, milliseconds(60000));
  CHECK(decision.verdict == gate_verdict::kPass);
  CHECK(decision.workspace == nullptr);
}

TEST_CASE("A node without tables doesn't report a route as unknown", "[gate]") {
  CHECK(DecideGate({"shop.example", "/x/", "k"}, {}, gate_parameters{}, kStart)
            .verdict == gate_verdict::kTablesUnknown);
}

TEST_CASE("Services are chosen in proportion to their weights", "[gate]") {
  service_route route = Route("split", "/");
  route.services = {{"old", 90}, {"new", 10}};
  CHECK(ChooseService(route, 0) == "old");
  CHECK(ChooseService(route, 0.899) == "old");
  CHECK(ChooseService(route, 0.901) == "new");
  CHECK(ChooseService(route, 0.999) == "new");
}

}  // namespace skylarkcroft
