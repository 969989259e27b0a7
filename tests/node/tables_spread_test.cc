#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "tests/node/node_fixture.h"

namespace skylarkcroft {
namespace {

constexpr milliseconds kNever{3600 * 1000};
constexpr milliseconds kBound{1000};
const nlohmann::json kOutage = {{"service", "tables"}, {"mode", "outage"}};
const nlohmann::json kNoFault = {{"service", "tables"}, {"mode", "none"}};

/// Nodes that read the store so seldom that only the mesh tells them news.
struct mesh_fixture : node_fixture {
  explicit mesh_fixture(size_t count, milliseconds poll = milliseconds(50))
      : node_fixture(0, 1) {
    tables = {poll, kBound};
    for (size_t index = 0; index < count; ++index) {
      AddNode();
    }
  }

  bool KnowEachOther() {
    return Until([this] {
      for (const auto& one : nodes) {
        if (StatusOf(*one).at("members").size() != nodes.size() - 1) {
          return false;
        }
      }
      return true;
    });
  }
  nlohmann::json StatusOf(const node& one) {
    return nlohmann::json::parse(
        Get(one.operators_address(), "/operators/status").body);
  }
  bool Ready(const node& one) {
    return Get(one.callers_address(), "/readyz").status == 200;
  }
  nlohmann::json Edit(const std::string& table,
                      const nlohmann::json& document) {
    return nlohmann::json::parse(Put(table, document).body);
  }
};

using names = std::vector<std::string>;

TEST_CASE("an accepted edit is in force on every node when it is told",
          "[node][tables]") {
  mesh_fixture fixture(5, kNever);
  REQUIRE(fixture.KnowEachOther());
  const nlohmann::json pools = fixture.Edit("pools", fixture.PoolsDocument());
  CHECK(pools.at("in_force_on") == names{"n1", "n2", "n3", "n4", "n5"});
  CHECK(pools.at("pending").empty());
  const nlohmann::json routes =
      fixture.Edit("routes", fixture.RoutesDocument());
  CHECK(routes.at("in_force_on") == names{"n1", "n2", "n3", "n4", "n5"});
  for (const auto& one : fixture.nodes) {
    CHECK(fixture.RevisionOf(*one) == 2);
    CHECK(fixture.Ready(*one));
  }
}

TEST_CASE("nodes confirm each other while the store is down",
          "[node][tables]") {
  mesh_fixture fixture(3);
  REQUIRE(fixture.KnowEachOther());
  fixture.PutTables();
  fixture.SetPlatformFault(kOutage);
  fixture.loop.RunFor(3 * kBound);
  for (const auto& one : fixture.nodes) {
    CHECK(fixture.Ready(*one));
  }
  SECTION("and one that starts then takes the tables from them") {
    const node& late = fixture.AddNode();
    CHECK(fixture.Until([&] { return fixture.Ready(late); }));
    CHECK(fixture.RevisionOf(late) == 2);
  }
  SECTION("and the last one alone stops taking new requests") {
    fixture.nodes.pop_back();
    fixture.nodes.pop_back();
    CHECK(fixture.Until([&] { return !fixture.Ready(*fixture.nodes[0]); }));
    const http_response refused =
        fixture.Call(fixture.nodes[0]->callers_address(),
                     node_fixture::Completion("a stop", 2, false));
    CHECK(refused.status == 503);
    fixture.SetPlatformFault(kNoFault);
    CHECK(fixture.Until([&] { return fixture.Ready(*fixture.nodes[0]); }));
  }
}

TEST_CASE("a node that starts while the store is down has no tables alone",
          "[node][tables]") {
  mesh_fixture fixture(0);
  fixture.SetPlatformFault(kOutage);
  const node& only = fixture.AddNode();
  fixture.loop.RunFor(kBound);
  CHECK_FALSE(fixture.Ready(only));
  CHECK(fixture.RevisionOf(only) == 0);
}

TEST_CASE("an edit waits out a node that was killed", "[node][tables]") {
  mesh_fixture fixture(3);
  REQUIRE(fixture.KnowEachOther());
  fixture.PutTables();
  fixture.nodes.pop_back();
  const nlohmann::json edit = fixture.Edit("routes", fixture.RoutesDocument());
  CHECK(edit.at("in_force_on") == names{"n1", "n2"});
  CHECK(edit.at("stopped") == names{"n3"});
  CHECK(edit.at("pending").empty());
}

TEST_CASE("the platform's host list brings members together and ends them",
          "[node][mesh]") {
  mesh_fixture fixture(1);
  fixture.seek_first = false;
  fixture.AddNode();
  const auto list = [&](size_t count) {
    nlohmann::json hosts = nlohmann::json::array();
    for (size_t index = 0; index < count; ++index) {
      hosts.push_back(
          {{"id", "h" + std::to_string(index)},
           {"kind", "node"},
           {"pool", ""},
           {"address", ToString(fixture.nodes[index]->mesh_address())},
           {"availability_zone", "cairo-a"},
           {"incarnation", 1},
           {"state", "live"}});
    }
    http_request request;
    request.method = "POST";
    request.target = "/admin/hosts";
    request.body = nlohmann::json({{"hosts", hosts}}).dump();
    CHECK(fixture.Call(fixture.platform_address(), request).status == 200);
  };
  list(2);
  REQUIRE(fixture.KnowEachOther());
  fixture.nodes.pop_back();
  list(1);
  CHECK(fixture.Until([&] {
    const nlohmann::json members =
        fixture.StatusOf(*fixture.nodes[0]).at("members");
    return members.at(0).at("state") == "removed";
  }));
  CHECK(fixture.Until([&] {
    const nlohmann::json edit = fixture.Edit("pools", fixture.PoolsDocument());
    return edit.at("pending").empty() && edit.at("stopped").empty();
  }));
}

TEST_CASE("racing editors on two nodes: every edit in force, none lost",
          "[node][tables]") {
  mesh_fixture fixture(3);
  REQUIRE(fixture.KnowEachOther());
  fixture.PutTables();
  int accepted = 0;
  int conflicts = 0;
  std::vector<http_call_ptr> calls;
  for (const auto& one : fixture.nodes) {
    http_request request;
    request.method = "PUT";
    request.target = "/operators/routes";
    request.headers.Add("If-Match", "2");
    request.body = fixture.RoutesDocument().dump();
    calls.push_back(fixture.client.Send(
        one->operators_address(), request, {},
        {{}, {}, [&](const http_result& result) {
           accepted += result.response.status == 200 ? 1 : 0;
           conflicts += result.response.status == 409 ? 1 : 0;
         }}));
  }
  CHECK(fixture.Until([&] { return accepted + conflicts == 3; }));
  CHECK(accepted == 1);
  for (const auto& one : fixture.nodes) {
    CHECK(fixture.Until([&] { return fixture.RevisionOf(*one) == 3; }));
  }
}

}  // namespace
}  // namespace skylarkcroft
