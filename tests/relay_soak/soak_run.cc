#include "tests/relay_soak/soak_run.h"

#include <algorithm>
#include <random>

#include "tests/relay_soak/soak_world.h"

namespace skylarkcroft::soak {
namespace {

constexpr int kOk = 200;
constexpr milliseconds kStartTime{1500};
// Longer than any fault and the time in which nodes come back to normal.
constexpr milliseconds kMendTime{9000};
constexpr milliseconds kCalmTime{3000};
constexpr milliseconds kLastAnswers{4000};
constexpr int kLeastPauseMs = 150;
constexpr int kMostPauseMs = 1200;

}  // namespace

soak_verdict RunSoak(const soak_terms& terms) {
  soak_world world(terms);
  world.Run(kStartTime);
  world.StartClients();
  if (terms.pauses) {
    world.PauseUpstreams(SteadyNow() + terms.span);
  }
  std::mt19937 random(terms.seed + 1);
  std::uniform_int_distribution<int> pause(kLeastPauseMs, kMostPauseMs);
  for (milliseconds passed{0}; passed < terms.span;) {
    const milliseconds next(pause(random));
    world.Run(next);
    world.Harm();
    passed += next;
  }
  world.Run(kMendTime);
  world.SetCalm();
  world.Run(kCalmTime);
  world.StopClients();
  world.Run(kLastAnswers);
  soak_verdict verdict;
  verdict.faults = world.faults();
  const history seen = world.Take();
  verdict.violations = FindViolations(seen, promise_bounds{});
  verdict.requests = seen.requests.size();
  verdict.served = static_cast<size_t>(std::count_if(
      seen.requests.begin(), seen.requests.end(), [](const auto& entry) {
        return entry.second.status == kOk && entry.second.whole;
      }));
  verdict.runs = seen.runs.size();
  return verdict;
}

}  // namespace skylarkcroft::soak
