#include "skylarkcroft/attempt/skylarkcroft_hedged_attempt.h"

#include <array>
#include <memory>
#include <optional>
#include <string>
#include <utility>

#include "skylarkcroft/internal/skylarkcroft_event_loop.h"

namespace skylarkcroft {
namespace {

hedge_side OtherSide(hedge_side side) {
  return side == hedge_side::kFirst ? hedge_side::kSecond : hedge_side::kFirst;
}

class hedged_attempt final : public attempt {
 public:
  hedged_attempt(event_loop& loop, hedge_plan plan,
                 engine_attempt_callbacks events)
      : plan_(std::move(plan)), events_(std::move(events)) {
    StateOf(hedge_side::kFirst).running = true;
    StateOf(hedge_side::kFirst).running_attempt =
        plan_.start_first(CallbacksFor(hedge_side::kFirst));
    timer_ = loop.After(plan_.delay, [this] { StartSecond(); });
  }

 private:
  struct side_state {
    attempt_ptr running_attempt;
    bool running = false;
  };

  side_state& StateOf(hedge_side side) {
    return sides_[static_cast<size_t>(side)];
  }

  engine_attempt_callbacks CallbacksFor(hedge_side side) {
    engine_attempt_callbacks events;
    events.on_token = [this, side](int64_t offset, const std::string& data) {
      OnToken(side, offset, data);
    };
    events.on_usage = [this](const std::string& data) {
      events_.on_usage(data);
    };
    events.on_end = [this, side](const attempt_result& result) {
      OnEnd(side, result);
    };
    // The other attempt, where it runs, is the one that takes over.
    events.may_end_silent = [this, side] {
      return StateOf(OtherSide(side)).running || !events_.may_end_silent ||
             events_.may_end_silent();
    };
    return events;
  }

  void StartSecond() {
    attempt_ptr started = plan_.start_second(CallbacksFor(hedge_side::kSecond));
    if (started == nullptr) {
      return;
    }
    StateOf(hedge_side::kSecond).running_attempt = std::move(started);
    StateOf(hedge_side::kSecond).running = true;
  }

  void OnToken(hedge_side side, int64_t offset, const std::string& data) {
    timer_.reset();
    side_state& other = StateOf(OtherSide(side));
    if (other.running) {
      other.running = false;
      other.running_attempt.reset();
      plan_.on_attempt_ended(OtherSide(side),
                             {attempt_outcome::kCancelled, true, {}});
    }
    events_.on_token(offset, data);
  }

  // Doesn't destroy the attempt that ended, since it is the caller here.
  void OnEnd(hedge_side side, const attempt_result& result) {
    timer_.reset();
    StateOf(side).running = false;
    if (StateOf(OtherSide(side)).running &&
        result.outcome != attempt_outcome::kComplete) {
      plan_.on_attempt_ended(side, result);
      return;
    }
    events_.on_end(result);
  }

  hedge_plan plan_;
  engine_attempt_callbacks events_;
  std::array<side_state, 2> sides_;
  event_loop::handle_ptr timer_;
};

}  // namespace

attempt_ptr StartHedgedAttempt(event_loop& loop, hedge_plan plan,
                               engine_attempt_callbacks events) {
  return std::make_unique<hedged_attempt>(loop, std::move(plan),
                                          std::move(events));
}

}  // namespace skylarkcroft
