#ifndef SKYLARKCROFT_CLAIMS_SKYLARKCROFT_CLAIM_DECISION_H_
#define SKYLARKCROFT_CLAIMS_SKYLARKCROFT_CLAIM_DECISION_H_

#include <cstdint>
#include <string>

#include "skylarkcroft/claims/skylarkcroft_claim_record.h"

namespace skylarkcroft {

/// What a request does about a claim that is already stored for its key.
enum class claim_step {
  kHold,       ///< The stored claim is the request's own.
  kReplay,     ///< It ran; answer with the stored response.
  kWait,       ///< Another request is at work on it; look again later.
  kTakeOver,   ///< Nothing was sent and its holder is late; raise the number.
  kKeyReused,  ///< The key belongs to a different request.
  kUnknown,    ///< It was sent and its outcome will not become known.
};

/// Decides for `request_id` with `fingerprint` at `now_ms` (wall clock). Safe
/// whatever the clocks show: a takeover is a compare-and-set against the stored
/// version, and a claim that was marked as sent is never taken over.
claim_step DecideClaim(const claim_record& stored,
                       const std::string& request_id,
                       const std::string& fingerprint, int64_t now_ms);

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_CLAIMS_SKYLARKCROFT_CLAIM_DECISION_H_
