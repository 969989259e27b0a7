#include "skylarkcroft/claims/skylarkcroft_claim_decision.h"

namespace skylarkcroft {
namespace {

// Time a holder has after its deadline to store what it found.
constexpr int64_t kRecordGraceMs = 5000;

}  // namespace

claim_step DecideClaim(const claim_record& stored,
                       const std::string& request_id,
                       const std::string& fingerprint, int64_t now_ms) {
  if (stored.state == claim_state::kReleased) {
    return claim_step::kTakeOver;
  }
  if (stored.fingerprint != fingerprint) {
    return claim_step::kKeyReused;
  }
  switch (stored.state) {
    case claim_state::kDone:
      return claim_step::kReplay;
    case claim_state::kUnknown:
    case claim_state::kReleased:
      return claim_step::kUnknown;
    case claim_state::kClaimed:
      if (stored.request_id == request_id) {
        return claim_step::kHold;
      }
      return now_ms >= stored.expires_at_ms ? claim_step::kTakeOver
                                            : claim_step::kWait;
    case claim_state::kSent:
      if (stored.request_id == request_id) {
        return claim_step::kHold;
      }
      return now_ms >= stored.deadline_ms + kRecordGraceMs
                 ? claim_step::kUnknown
                 : claim_step::kWait;
  }
  return claim_step::kUnknown;
}

}  // namespace skylarkcroft
