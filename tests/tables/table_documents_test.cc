#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <string>

#include "skylarkcroft/internal/skylarkcroft_error.h"
#include "skylarkcroft/internal/skylarkcroft_json_reader.h"
#include "skylarkcroft/tables/skylarkcroft_table_set.h"

namespace skylarkcroft {
namespace {

const std::string kDigest(64, 'a');

nlohmann::json Routes() {
  return {{"callers", {{{"name", "dispatch"}, {"key_sha256", {kDigest}}}}},
          {"routes",
           {{{"name", "ask"},
             {"callers", {"dispatch"}},
             {"path_prefix", "/v1/"},
             {"models", {"assistant"}},
             {"pool", "assistant"},
             {"rank", "urgent"}},
            {{"name", "stock"},
             {"path_prefix", "/stock/"},
             {"methods", {"GET"}},
             {"pool", "orders"}}}}};
}

nlohmann::json Pools() {
  return {{"pools",
           {{{"name", "assistant"},
             {"upstreams",
              {{{"name", "a1"},
                {"address", "127.0.0.1:9001"},
                {"availability_zone", "cairo-a"}}}}},
            {{"name", "orders"}, {"kind", "service"}}}}};
}

std::string PathOfRoutesError(const nlohmann::json& document) {
  try {
    ParseRoutesTable(document);
  } catch (const config_error& failure) {
    CHECK_FALSE(failure.remedy().empty());
    return failure.path();
  }
  return "accepted";
}

std::string PathOfPoolsError(const nlohmann::json& document) {
  try {
    ParsePoolsTable(document);
  } catch (const config_error& failure) {
    CHECK_FALSE(failure.remedy().empty());
    return failure.path();
  }
  return "accepted";
}

TEST_CASE("a request is matched to the first route that fits it", "[tables]") {
  const routes_table table = ParseRoutesTable(Routes());
  CHECK(table.Match({"dispatch", "POST", "/v1/completions", "assistant"})
            .found->name == "ask");
  CHECK(table.Match({"other", "GET", "/stock/7", ""}).found->name == "stock");
  CHECK(
      table.Match({"other", "POST", "/v1/completions", "assistant"}).failure ==
      match_failure::kNoRoute);
  CHECK(
      table.Match({"dispatch", "POST", "/v1/completions", "unknown"}).failure ==
      match_failure::kNoRoute);
  CHECK(table.Match({"other", "DELETE", "/stock/7", ""}).failure ==
        match_failure::kMethodNotAllowed);
}

TEST_CASE("a caller is found only by the digest of its key", "[tables]") {
  const routes_table table = ParseRoutesTable(Routes());
  REQUIRE(table.FindByKeyDigest(kDigest) != nullptr);
  CHECK(table.FindByKeyDigest(kDigest)->name == "dispatch");
  CHECK(table.FindByKeyDigest(std::string(64, 'b')) == nullptr);
}

TEST_CASE("an error in the routes table carries its JSON path", "[tables]") {
  nlohmann::json document = Routes();
  SECTION("unknown key") {
    document["routes"][0]["prio"] = 1;
    CHECK(PathOfRoutesError(document) == "$.routes[0].prio");
  }
  SECTION("wrong type") {
    document["routes"][1]["pool"] = 7;
    CHECK(PathOfRoutesError(document) == "$.routes[1].pool");
  }
  SECTION("out of range") {
    document["callers"][0]["weight"] = 0;
    CHECK(PathOfRoutesError(document) == "$.callers[0].weight");
  }
  SECTION("a key that is not a digest") {
    document["callers"][0]["key_sha256"] = {"secret"};
    CHECK(PathOfRoutesError(document) == "$.callers[0].key_sha256");
  }
  SECTION("two routes with the same name") {
    document["routes"][1]["name"] = "ask";
    CHECK(PathOfRoutesError(document) == "$.routes[1].name");
  }
  SECTION("a route for an unknown caller") {
    document["routes"][0]["callers"] = {"nobody"};
    CHECK(PathOfRoutesError(document) == "$.routes[0].callers");
  }
  SECTION("guaranteed shares that add up to more than 1") {
    document["ranks"] = {{{"name", "urgent"}, {"guaranteed_share", 0.9}}};
    CHECK(PathOfRoutesError(document) == "$.ranks");
  }
  SECTION("a rank that is listed twice") {
    document["ranks"] = {{{"name", "urgent"}, {"worth", 2}},
                         {{"name", "urgent"}, {"worth", 3}}};
    CHECK(PathOfRoutesError(document) == "$.ranks[1].name");
  }
}

TEST_CASE("an error in the pools table carries its JSON path", "[tables]") {
  nlohmann::json document = Pools();
  SECTION("a host name instead of an IP address") {
    document["pools"][0]["upstreams"][0]["address"] = "engine:80";
    CHECK(PathOfPoolsError(document) == "$.pools[0].upstreams[0].address");
  }
  SECTION("max_hosts less than min_hosts") {
    document["pools"][0]["hosts"] = {{"min_hosts", 3}, {"max_hosts", 2}};
    CHECK(PathOfPoolsError(document) == "$.pools[0].hosts.min_hosts");
  }
  SECTION("two upstreams with the same name") {
    document["pools"][0]["upstreams"].push_back(
        document["pools"][0]["upstreams"][0]);
    CHECK(PathOfPoolsError(document) == "$.pools[0].upstreams[1].name");
  }
}

TEST_CASE("a route whose pool does not exist is rejected", "[tables]") {
  table_documents documents;
  documents.routes = Routes().dump();
  try {
    MakeTableSet(documents);
    FAIL("accepted");
  } catch (const config_error& failure) {
    CHECK(failure.path() == "$.routes[0].pool");
  }
  documents.pools = Pools().dump();
  CHECK(MakeTableSet(documents)->pools.Find("assistant") != nullptr);
}

}  // namespace
}  // namespace skylarkcroft
