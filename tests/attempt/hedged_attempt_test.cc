#include <array>
#include <catch2/catch.hpp>
#include <memory>
#include <string>
#include <vector>

#include "skylarkcroft/attempt/skylarkcroft_hedged_attempt.h"
#include "skylarkcroft/attempt/skylarkcroft_recent_latency.h"
#include "skylarkcroft/internal/skylarkcroft_event_loop.h"

namespace skylarkcroft {
namespace {

class tracked_attempt final : public attempt {
 public:
  explicit tracked_attempt(bool& alive) : alive_(alive) { alive_ = true; }
  ~tracked_attempt() override { alive_ = false; }
  tracked_attempt(const tracked_attempt&) = delete;
  tracked_attempt& operator=(const tracked_attempt&) = delete;

 private:
  bool& alive_;
};

// A hedged attempt whose two attempts deliver tokens and end when the test
// calls their callbacks.
class hedge_fixture {
 public:
  hedge_fixture() {
    hedge_plan plan;
    plan.delay = milliseconds(1);
    plan.start_first = [this](engine_attempt_callbacks events) {
      return Start(0, std::move(events));
    };
    plan.start_second = [this](engine_attempt_callbacks events) {
      return may_hedge ? Start(1, std::move(events)) : nullptr;
    };
    plan.on_attempt_ended = [this](hedge_side side,
                                   const attempt_result& result) {
      ended_sides.emplace_back(side);
      ended_side_outcomes.push_back(result.outcome);
    };
    engine_attempt_callbacks events;
    events.on_token = [this](int64_t, const std::string& data) {
      tokens += data;
    };
    events.on_usage = [](const std::string&) {};
    events.on_end = [this](const attempt_result& result) {
      ended.push_back(result.outcome);
    };
    hedged = StartHedgedAttempt(loop, std::move(plan), std::move(events));
  }

  attempt_ptr Start(size_t index, engine_attempt_callbacks events) {
    attempts.at(index) = std::move(events);
    return std::make_unique<tracked_attempt>(alive.at(index));
  }

  void RunPastDelay() { loop.RunFor(milliseconds(20)); }

  event_loop loop;
  bool may_hedge = true;
  std::array<engine_attempt_callbacks, 2> attempts;
  std::array<bool, 2> alive{};
  std::vector<hedge_side> ended_sides;
  std::vector<attempt_outcome> ended_side_outcomes;
  std::vector<attempt_outcome> ended;
  std::string tokens;
  attempt_ptr hedged;
};

TEST_CASE(
    "the attempt that delivers the first token continues, the other is "
    "cancelled",
    "[attempt][hedge]") {
  hedge_fixture fixture;
  fixture.RunPastDelay();
  REQUIRE(fixture.alive[1]);
  const auto winner = GENERATE(size_t{0}, size_t{1});
  fixture.attempts.at(winner).on_token(1, "a");
  fixture.attempts.at(winner).on_token(2, "b");
  fixture.attempts.at(winner).on_end({attempt_outcome::kComplete, true, {}});
  CHECK(fixture.tokens == "ab");
  CHECK(fixture.alive.at(winner));
  CHECK_FALSE(fixture.alive.at(1 - winner));
  CHECK(fixture.ended_sides ==
        std::vector<hedge_side>{static_cast<hedge_side>(1 - winner)});
  CHECK(fixture.ended_side_outcomes ==
        std::vector<attempt_outcome>{attempt_outcome::kCancelled});
  CHECK(fixture.ended ==
        std::vector<attempt_outcome>{attempt_outcome::kComplete});
}

TEST_CASE(
    "no second attempt starts after a token, a failure or with no retry budget",
    "[attempt][hedge]") {
  hedge_fixture fixture;
  SECTION("a token") { fixture.attempts[0].on_token(1, "a"); }
  SECTION("a failure") {
    fixture.attempts[0].on_end({attempt_outcome::kRefused, false, {}});
    CHECK(fixture.ended ==
          std::vector<attempt_outcome>{attempt_outcome::kRefused});
  }
  SECTION("an exhausted retry budget") { fixture.may_hedge = false; }
  fixture.RunPastDelay();
  CHECK_FALSE(fixture.alive[1]);
  CHECK(fixture.ended_sides.empty());
}

TEST_CASE("a hedged attempt fails only when both attempts have failed",
          "[attempt][hedge]") {
  hedge_fixture fixture;
  fixture.RunPastDelay();
  fixture.attempts[0].on_end({attempt_outcome::kBroken, true, {}});
  CHECK(fixture.ended.empty());
  CHECK(fixture.ended_sides == std::vector<hedge_side>{hedge_side::kFirst});
  fixture.attempts[1].on_end({attempt_outcome::kFailed, true, {}});
  CHECK(fixture.ended ==
        std::vector<attempt_outcome>{attempt_outcome::kFailed});
}

TEST_CASE("a latency quantile needs 40 samples and covers the latest 256",
          "[attempt][hedge]") {
  recent_latency times;
  for (int sample = 0; sample < 39; ++sample) {
    times.Record(milliseconds(1));
  }
  CHECK_FALSE(times.Quantile(0.95).has_value());
  for (int sample = 1; sample <= 256; ++sample) {
    times.Record(milliseconds(sample));
  }
  CHECK(times.Quantile(0) == duration(milliseconds(1)));
  CHECK(times.Quantile(1) == duration(milliseconds(256)));
  CHECK(times.Quantile(0.5) == duration(milliseconds(128)));
}

}  // namespace
}  // namespace skylarkcroft
