#include "skylarkcroft/wire/skylarkcroft_end_confirmation.h"

#include <utility>

namespace skylarkcroft {

end_confirmation::end_confirmation(event_loop& loop, const endpoint& upstream,
                                   const end_confirmation_limits& limits,
                                   std::function<void(bool)> on_decided)
    : loop_(loop),
      upstream_(upstream),
      limits_(limits),
      on_decided_(std::move(on_decided)),
      evidence_{.ended_at = SteadyNow()} {
  Connect(evidence_.ended_at);
}

end_confirmation::~end_confirmation() = default;

void end_confirmation::Connect(time_point now) {
  evidence_.connected_at = now;
  evidence_.outcome.reset();
  // The check before may be the caller: destroy it after the call has returned.
  loop_.Defer([ended = std::shared_ptr<connect_check>(std::move(check_))] {});
  check_ = std::make_unique<connect_check>(loop_, upstream_, limits_.connection,
                                           [this](connect_outcome outcome) {
                                             evidence_.outcome = outcome;
                                             evidence_.outcome_at = SteadyNow();
                                             Decide(evidence_.outcome_at);
                                           });
}

void end_confirmation::Decide(time_point now) {
  switch (DecideEnd(evidence_, limits_.end, now)) {
    case end_verdict::kWait:
      timer_ = loop_.After(NextDecisionTime(evidence_, limits_.end) - now,
                           [this] { Decide(SteadyNow()); });
      return;
    case end_verdict::kConnectAgain:
      Connect(now);
      return;
    case end_verdict::kWhole:
      End(true);
      return;
    case end_verdict::kBroken:
      End(false);
      return;
  }
}

void end_confirmation::End(bool is_whole) {
  const auto call = std::exchange(on_decided_, nullptr);
  call(is_whole);
}

}  // namespace skylarkcroft
