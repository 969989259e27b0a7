#ifndef SKYLARKCROFT_CLAIMS_SKYLARKCROFT_CLAIM_DECISION_H_
#define SKYLARKCROFT_CLAIMS_SKYLARKCROFT_CLAIM_DECISION_H_

#include <cstdint>
#include <string>

#include "skylarkcroft/claims/skylarkcroft_claim_record.h"

namespace skylarkcroft {

/// What a request must do, given the claim stored for its idempotency key.
enum class claim_action {
  kAlreadyHeld,  ///< The request holds the stored claim itself.
  kReplay,       ///< The request was executed; return the stored response.
  kWait,         ///< Another request holds the claim; read it again later.
  kTakeOver,     ///< Take the claim: it was released, or expired before it was
                 ///< sent.
  kKeyReused,    ///< The key was used for a request with another fingerprint.
  kUnknown,      ///< It was sent, and its outcome will not become known.
};

/// Decides for `request_id` with `fingerprint` at `now_ms` (wall clock). Clock
/// skew between nodes cannot cause a second execution: a takeover is a
/// compare-and-set on the stored version, and a claim marked as sent is never
/// taken over.
claim_action DecideClaim(const claim_record& stored,
                         const std::string& request_id,
                         const std::string& fingerprint, int64_t now_ms);

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_CLAIMS_SKYLARKCROFT_CLAIM_DECISION_H_
