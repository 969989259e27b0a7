#include "skylarkcroft/relay/skylarkcroft_response_end.h"

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
  if (*evidence.outcome != connect_outcome::kRefused ||
      evidence.has_byte_since) {
    return end_verdict::kWhole;
  }
  return now - evidence.outcome_at < limits.life_sign_wait
             ? end_verdict::kWait
             : end_verdict::kBroken;
}

}  // namespace skylarkcroft
