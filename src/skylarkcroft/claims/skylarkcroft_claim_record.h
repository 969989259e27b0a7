#ifndef SKYLARKCROFT_CLAIMS_SKYLARKCROFT_CLAIM_RECORD_H_
#define SKYLARKCROFT_CLAIMS_SKYLARKCROFT_CLAIM_RECORD_H_

#include <cstdint>
#include <optional>
#include <string>

#include "skylarkcroft/http/skylarkcroft_http_message.h"
#include "skylarkcroft/platform/skylarkcroft_table_service.h"

namespace skylarkcroft {

/// Progress of the request that uses an idempotency key.
enum class claim_state {
  kClaimed,   ///< A request holds the key; nothing has been sent.
  kSent,      ///< The holder may have sent it; no other request may be sent.
  kDone,      ///< It was executed; the response is stored if it fits.
  kUnknown,   ///< It was sent and its outcome could not be found.
  kReleased,  ///< It certainly did not run; the key may be claimed again.
};

/// The stored claim of one caller's idempotency key.
struct claim_record {
  claim_state state = claim_state::kClaimed;
  /// Counts the holders: 1 for the first, increased by each takeover.
  int64_t number = 1;
  /// Id of the request that holds the claim.
  std::string request_id;
  /// SHA-256 of method, target and body of the request; see FingerprintOf.
  std::string fingerprint;
  /// Upstream that the request was sent to, to ask it for the outcome.
  std::string upstream;
  /// Wall-clock time, in ms, from which an unsent claim may be taken over.
  int64_t expires_at_ms = 0;
  /// Wall-clock time, in ms: the deadline of the holder's request.
  int64_t deadline_ms = 0;
  /// Set in kDone unless the body was too large to store (above 128 KiB).
  std::optional<http_response> response;

  bool operator==(const claim_record&) const = default;
};

/// Key of the row that stores the claim on `idempotency_key` of `caller_name`.
row_key ClaimKey(const std::string& caller_name,
                 const std::string& idempotency_key);

std::string EncodeClaim(const claim_record& record);

/// Empty when `document` is not a valid encoded claim.
std::optional<claim_record> DecodeClaim(const std::string& document);

/// SHA-256 of method, target and body, in hex. Detects a different request that
/// reuses the idempotency key.
std::string FingerprintOf(const http_request& request);

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_CLAIMS_SKYLARKCROFT_CLAIM_RECORD_H_
