#ifndef SKYLARKCROFT_ATTEMPT_SKYLARKCROFT_HEDGED_ATTEMPT_H_
#define SKYLARKCROFT_ATTEMPT_SKYLARKCROFT_HEDGED_ATTEMPT_H_

#include <functional>

#include "skylarkcroft/attempt/skylarkcroft_attempt.h"
#include "skylarkcroft/internal/skylarkcroft_time.h"

namespace skylarkcroft {

class event_loop;

/// The two attempts of a hedged attempt, in the order in which they start.
enum class hedge_side { kFirst, kSecond };

/// When and how a hedged attempt starts its two attempts.
struct hedge_plan {
  /// The second attempt starts after this time without a token.
  duration delay{};
  std::function<attempt_ptr(engine_attempt_callbacks)> start_first;
  /// Returns null when no second attempt may start.
  std::function<attempt_ptr(engine_attempt_callbacks)> start_second;
  /// Called when `side` ends while the other attempt continues: `side` failed,
  /// or it was cancelled (kCancelled) because the other delivered a token
  /// first.
  std::function<void(hedge_side side, const attempt_result&)> on_attempt_ended;
};

/// Starts an attempt at an engine, and a second one when the first delivers no
/// token within `plan.delay`. Whichever delivers the first token continues and
/// the other is cancelled. `events` reports the attempt that continues; a
/// failed attempt is reported to on_end only when no other is running.
attempt_ptr StartHedgedAttempt(event_loop& loop, hedge_plan plan,
                               engine_attempt_callbacks events);

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_ATTEMPT_SKYLARKCROFT_HEDGED_ATTEMPT_H_
