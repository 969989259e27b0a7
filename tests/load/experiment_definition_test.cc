#include <catch2/catch.hpp>
#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>
#include <set>

#include "load/skylarkcroft_experiment_definition.h"
#include "skylarkcroft/internal/skylarkcroft_error.h"

namespace skylarkcroft::load {
namespace {

nlohmann::json Valid() {
  return nlohmann::json::parse(R"({
    "name": "flood", "seed": 7, "duration_s": 20,
    "nodes": ["127.0.0.1:4000"],
    "groups": [{"name": "drivers", "callers": 3, "key_prefix": "driver",
                "model": "assistant", "rate_per_caller": 2.0,
                "phases": [{"from_ms": 5000, "to_ms": 10000,
                            "rate_factor": 10}]}]})");
}

std::string PathOfError(const nlohmann::json& document) {
  try {
    ParseDefinition(document);
  } catch (const config_error& failure) {
    return failure.path();
  }
  return "no error";
}

TEST_CASE("a definition is read with its defaults", "[load]") {
  const experiment_definition definition = ParseDefinition(Valid());
  CHECK(definition.seed == 7);
  CHECK(definition.duration == milliseconds(20000));
  REQUIRE(definition.groups.size() == 1);
  CHECK(definition.groups[0].path == "/v1/chat/completions");
  CHECK(definition.groups[0].stream);
  CHECK(definition.groups[0].phases[0].rate_factor == 10.0);
}

TEST_CASE("an error in a definition names its JSON path", "[load]") {
  nlohmann::json document = Valid();
  SECTION("unknown key") {
    document["groups"][0]["rat"] = 1;
    CHECK(PathOfError(document) == "$.groups[0].rat");
  }
  SECTION("a phase that ends before it starts") {
    document["groups"][0]["phases"][0]["to_ms"] = 5000;
    CHECK(PathOfError(document) == "$.groups[0].phases[0].to_ms");
  }
  SECTION("overlapping phases") {
    document["groups"][0]["phases"].push_back(
        {{"from_ms", 9000}, {"to_ms", 12000}});
    CHECK(PathOfError(document) == "$.groups[0].phases[1].from_ms");
  }
  SECTION("two groups of one name") {
    document["groups"].push_back(document["groups"][0]);
    CHECK(PathOfError(document) == "$.groups[1].name");
  }
  SECTION("no group") {
    document["groups"] = nlohmann::json::array();
    CHECK(PathOfError(document) == "$.groups");
  }
  SECTION("a node outside the loopback interface") {
    document["nodes"] = {"127.0.0.1:1", "10.0.0.1:4000"};
    CHECK(PathOfError(document) == "$.nodes[1]");
  }
}

TEST_CASE("a shorter run keeps the shape of its phases", "[load]") {
  const experiment_definition scaled =
      ScaledTo(ParseDefinition(Valid()), milliseconds(4000));
  CHECK(scaled.duration == milliseconds(4000));
  CHECK(scaled.groups[0].phases[0].from == milliseconds(1000));
  CHECK(scaled.groups[0].phases[0].to == milliseconds(2000));
}

TEST_CASE("every definition of the project is valid", "[load]") {
  const std::filesystem::path root =
      std::filesystem::path(SKYLARKCROFT_EXAMPLES).parent_path();
  const std::set<std::string> tables = {"routes.json", "pools.json"};
  int definitions = 0;
  for (const std::string folder : {"experiments", "load/demo"}) {
    for (const auto& entry :
         std::filesystem::recursive_directory_iterator(root / folder)) {
      const std::filesystem::path& path = entry.path();
      if (path.extension() != ".json" || tables.count(path.filename()) != 0) {
        continue;
      }
      INFO(path);
      std::ifstream file(path);
      CHECK_NOTHROW(ParseDefinition(nlohmann::json::parse(file)));
      ++definitions;
    }
  }
  CHECK(definitions >= 10);
}

}  // namespace
}  // namespace skylarkcroft::load
