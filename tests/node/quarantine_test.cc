#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <string>

#include "tests/node/node_fixture.h"

namespace skylarkcroft {
namespace {

// A beginning of two blocks of an engine's prefix cache.
std::string Words(const std::string& word) {
  constexpr int kWords = 32;
  std::string words;
  for (int i = 0; i < kWords; ++i) {
    words += word + " ";
  }
  return words;
}

// Every engine breaks off its responses before the first token.
void CrashAll(node_fixture& fixture) {
  for (const auto& engine : fixture.engines) {
    fixture.SetFault(engine->address(),
                     {{"mode", "break_after"}, {"tokens", 0}});
  }
}

void EndFaults(node_fixture& fixture) {
  for (const auto& engine : fixture.engines) {
    fixture.SetFault(engine->address(), {{"mode", "none"}});
  }
}

void Wait(node_fixture& fixture, milliseconds span) {
  const time_point end = SteadyNow() + span;
  fixture.Until([&] { return SteadyNow() >= end; });
}

}  // namespace

// Guards against prompts with one beginning that crash one engine after the
// other.
TEST_CASE("prompts whose beginning crashes engines are rejected",
          "[node][quarantine][regression]") {
  node_fixture fixture;
  fixture.PutTables();
  const endpoint callers = fixture.nodes[0]->callers_address();
  constexpr int kMostCrashes = 6;
  CrashAll(fixture);
  http_response reply;
  for (int number = 0; number < kMostCrashes; ++number) {
    reply = fixture.Call(
        callers,
        node_fixture::Completion(
            Words("bad") + Words("own" + std::to_string(number)), 4, false));
    if (reply.status == 503) {
      break;
    }
    Wait(fixture, milliseconds(1100));
  }
  REQUIRE(reply.status == 503);
  const nlohmann::json problem = nlohmann::json::parse(reply.body);
  CHECK(problem.at("reason") == "prompt_quarantined");
  CHECK(problem.at("run_state") == "not_run");
  CHECK_FALSE(reply.headers.Get("Retry-After").empty());
  EndFaults(fixture);
  CHECK(fixture
            .Call(callers, node_fixture::Completion(
                               Words("sound") + Words("own"), 4, false))
            .status == 200);
}

}  // namespace skylarkcroft
