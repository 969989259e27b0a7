#include "skylarkcroft/attempt/skylarkcroft_hedged_attempt.h"

#include <array>
#include <memory>
#include <optional>
#include <string>
#include <utility>

#include "skylarkcroft/internal/skylarkcroft_event_loop.h"

namespace skylarkcroft {
namespace {

hedge_side Other(hedge_side side) {
  return side == hedge_side::kFirst ? hedge_side::kSecond : hedge_side::kFirst;
}

class hedged_attempt final : public attempt {
 public:
  hedged_attempt(event_loop& loop, hedge_plan plan,
                 engine_attempt_events events)
      : plan_(std::move(plan)), events_(std::move(events)) {
    Of(hedge_side::kFirst).running = true;
    Of(hedge_side::kFirst).work =
        plan_.start_first(EventsOf(hedge_side::kFirst));
    timer_ = loop.After(plan_.delay, [this] { StartSecond(); });
  }

 private:
  struct one_try {
    attempt_ptr work;
    bool running = false;
  };

  one_try& Of(hedge_side side) { return tries_[static_cast<size_t>(side)]; }

  engine_attempt_events EventsOf(hedge_side side) {
    engine_attempt_events events;
    events.on_token = [this, side](int64_t offset, const std::string& data) {
      OnToken(side, offset, data);
    };
    events.on_usage = [this](const std::string& data) {
      events_.on_usage(data);
    };
    events.on_end = [this, side](const attempt_result& result) {
      OnEnd(side, result);
    };
    return events;
  }

  void StartSecond() {
    attempt_ptr started = plan_.start_second(EventsOf(hedge_side::kSecond));
    if (started == nullptr) {
      return;
    }
    Of(hedge_side::kSecond).work = std::move(started);
    Of(hedge_side::kSecond).running = true;
  }

  void OnToken(hedge_side side, int64_t offset, const std::string& data) {
    timer_.reset();
    one_try& other = Of(Other(side));
    if (other.running) {
      other.running = false;
      other.work.reset();
      plan_.on_left(Other(side), {attempt_outcome::kCancelled, true, {}});
    }
    events_.on_token(offset, data);
  }

  // The try stays until this object goes, since it is inside its own call.
  void OnEnd(hedge_side side, const attempt_result& result) {
    timer_.reset();
    Of(side).running = false;
    if (Of(Other(side)).running &&
        result.outcome != attempt_outcome::kComplete) {
      plan_.on_left(side, result);
      return;
    }
    events_.on_end(result);
  }

  hedge_plan plan_;
  engine_attempt_events events_;
  std::array<one_try, 2> tries_;
  event_loop::handle_ptr timer_;
};

}  // namespace

attempt_ptr StartHedgedAttempt(event_loop& loop, hedge_plan plan,
                               engine_attempt_events events) {
  return std::make_unique<hedged_attempt>(loop, std::move(plan),
                                          std::move(events));
}

}  // namespace skylarkcroft
