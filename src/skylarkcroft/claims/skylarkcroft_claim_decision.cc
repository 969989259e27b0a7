#include "skylarkcroft/claims/skylarkcroft_claim_decision.h"

namespace skylarkcroft {
namespace {

// Time after its deadline within which a holder may still store the outcome.
constexpr int64_t kOutcomeGraceMs = 5000;

}  // namespace

claim_action DecideClaim(const claim_record& stored,
                         const std::string& request_id,
                         const std::string& fingerprint, int64_t now_ms) {
  if (stored.state == claim_state::kReleased) {
    return claim_action::kTakeOver;
  }
  if (stored.fingerprint != fingerprint) {
    return claim_action::kKeyReused;
  }
  switch (stored.state) {
    case claim_state::kDone:
      return claim_action::kReplay;
    case claim_state::kUnknown:
    case claim_state::kReleased:
      return claim_action::kUnknown;
    case claim_state::kClaimed:
      if (stored.request_id == request_id) {
        return claim_action::kAlreadyHeld;
      }
      return now_ms >= stored.expires_at_ms ? claim_action::kTakeOver
                                            : claim_action::kWait;
    case claim_state::kSent:
      if (stored.request_id == request_id) {
        return claim_action::kAlreadyHeld;
      }
      return now_ms >= stored.deadline_ms + kOutcomeGraceMs
                 ? claim_action::kUnknown
                 : claim_action::kWait;
  }
  return claim_action::kUnknown;
}

}  // namespace skylarkcroft
