#include <catch2/catch.hpp>
#include <string>

#include "tests/history/skylarkcroft_history_checks.h"
#include "tests/history/skylarkcroft_soak_run.h"
#include "tests/node/node_fixture.h"

namespace skylarkcroft::history {
namespace {

soak_targets TargetsOf(const node_fixture& fixture) {
  soak_targets targets;
  for (const auto& one : fixture.nodes) {
    targets.nodes.push_back({"n" + std::to_string(targets.nodes.size() + 1),
                             one->callers_address(), one->operators_address()});
  }
  for (const auto& engine : fixture.engines) {
    targets.engines.push_back(engine->address());
  }
  for (const auto& service : fixture.services) {
    targets.services.push_back(service->address());
  }
  targets.platform = fixture.platform_address();
  targets.caller_key = kTestKey;
  return targets;
}

TEST_CASE("a short run with seeded faults keeps what is promised",
          "[history][run]") {
  soak_options options;
  options.duration = milliseconds(6000);
  options.seed = GENERATE(1, 2, 3);
  options.flood_callers = 20;
  node_fixture fixture(3, 4);
  std::string faults;
  soak_run run(fixture.loop, fixture.client, TargetsOf(fixture), options,
               [&](const std::string& line) { faults += line + "\n"; });
  const run_history recorded = run.Run();
  INFO("seed " << options.seed << "\n" << faults);
  size_t answered = 0;
  for (const request_event& request : recorded.requests) {
    answered += request.outcome == request_outcome::kAnswered ? 1 : 0;
  }
  CHECK(answered > 0);
  CHECK_FALSE(recorded.runs.empty());
  for (const violation& one : CheckAll(recorded)) {
    FAIL_CHECK(one.check << " of " << one.subject << ": " << one.detail);
  }
}

}  // namespace
}  // namespace skylarkcroft::history
