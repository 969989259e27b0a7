#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <vector>

#include "skylarkcroft/internal/skylarkcroft_endpoint.h"
#include "tests/child_program.h"
#include "tests/standins/engine_harness.h"

namespace skylarkcroft::standin {
namespace {

constexpr const char* kEngine = "standins/skylarkcroft_engine_standin";
constexpr const char* kPlainService =
    "standins/skylarkcroft_plain_service_standin";

std::vector<endpoint> Listening(const child_program& program) {
  std::vector<endpoint> addresses;
  const auto line = nlohmann::json::parse(program.ReadLine());
  for (const nlohmann::json& address : line.at("listening")) {
    addresses.push_back(ParseEndpoint(address.get<std::string>(), "listening"));
  }
  return addresses;
}

TEST_CASE("a program serves as many stand-ins as asked and ends on SIGTERM",
          "[program]") {
  const std::string name = GENERATE(kEngine, kPlainService);
  child_program program(name, {"--count=3", "--seed=5", "--slots=7"});
  const std::vector<endpoint> addresses = Listening(program);
  CHECK(std::set<endpoint>(addresses.begin(), addresses.end()).size() == 3);
  standin_harness harness;
  for (const endpoint& address : addresses) {
    CHECK(harness.Get(address, "/load")["slots"] == 7);
    CHECK(harness.Get(address, "/admin/stats")["requests"] == 0);
  }
  const int status = program.Terminate();
  CHECK(WIFEXITED(status));
  CHECK(WEXITSTATUS(status) == 0);
}

TEST_CASE("a program refuses options that it cannot follow", "[program]") {
  const std::string option =
      GENERATE("--slots=0", "--event-loss=2", "--fencing=maybe", "--unknown");
  child_program program(kEngine, {option});
  CHECK(program.ReadLine().empty());
  const int status = program.Wait();
  CHECK(WIFEXITED(status));
  CHECK(WEXITSTATUS(status) == 2);
}

}  // namespace
}  // namespace skylarkcroft::standin
