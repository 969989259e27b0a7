#ifndef SKYLARKCROFT_ATTEMPT_SKYLARKCROFT_HEDGED_ATTEMPT_H_
#define SKYLARKCROFT_ATTEMPT_SKYLARKCROFT_HEDGED_ATTEMPT_H_

#include <functional>

#include "skylarkcroft/attempt/skylarkcroft_attempt.h"
#include "skylarkcroft/internal/skylarkcroft_time.h"

namespace skylarkcroft {

class event_loop;

/// The tries of a hedged attempt, in the order of their start.
enum class hedge_side { kFirst, kSecond };

/// How a hedged attempt starts its tries.
struct hedge_plan {
  /// Time without a token after which the second try starts.
  duration delay{};
  std::function<attempt_ptr(engine_attempt_events)> start_first;
  /// Null when no second try may be started.
  std::function<attempt_ptr(engine_attempt_events)> start_second;
  /// Runs when `side` is over while the other goes on: it failed, or the other
  /// had the first token and it was given up as kCancelled.
  std::function<void(hedge_side side, const attempt_result&)> on_left;
};

/// Starts a try at an engine, and a second one when the first has brought no
/// token in time. The first token decides which goes on. `events` are those of
/// the one that goes on; a failure ends the attempt only when it was the last.
attempt_ptr StartHedgedAttempt(event_loop& loop, hedge_plan plan,
                               engine_attempt_events events);

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_ATTEMPT_SKYLARKCROFT_HEDGED_ATTEMPT_H_
