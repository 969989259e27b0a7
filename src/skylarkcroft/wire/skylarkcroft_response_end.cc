#include "skylarkcroft/wire/skylarkcroft_response_end.h"

namespace skylarkcroft {

bool NeedsConfirmation(const upstream_departure& departure,
                       time_point ended_at) {
  return !departure.is_leaving ||
         (departure.exits_at.has_value() && ended_at >= *departure.exits_at);
}

end_verdict DecideEnd(const end_evidence& evidence, const end_limits& limits,
                      time_point now) {
  if (!evidence.outcome.has_value()) {
    return end_verdict::kWait;
  }
  if (evidence.has_byte_since) {
    return end_verdict::kWhole;
  }
  const time_point listener_closed =
      evidence.ended_at + limits.listener_close_limit;
  switch (*evidence.outcome) {
    case connect_outcome::kAccepted:
    case connect_outcome::kUnknown:
      return end_verdict::kWhole;
    case connect_outcome::kDropped:
      if (evidence.connected_at >= listener_closed) {
        return end_verdict::kWhole;
      }
      return now < listener_closed ? end_verdict::kWait
                                   : end_verdict::kConnectAgain;
    case connect_outcome::kRefused:
      break;
  }
  return now - evidence.outcome_at < limits.life_sign_wait
             ? end_verdict::kWait
             : end_verdict::kBroken;
}

time_point NextDecisionTime(const end_evidence& evidence,
                            const end_limits& limits) {
  return evidence.outcome == connect_outcome::kDropped
             ? evidence.ended_at + limits.listener_close_limit
             : evidence.outcome_at + limits.life_sign_wait;
}

bool IsEndInDoubt(const end_evidence& evidence) {
  return evidence.outcome.has_value() ||
         evidence.connected_at > evidence.ended_at;
}

std::string_view EndShownBy(const end_evidence& evidence) {
  if (!evidence.outcome.has_value()) {
    return "";
  }
  return evidence.has_byte_since ? "byte" : ToString(*evidence.outcome);
}

}  // namespace skylarkcroft
