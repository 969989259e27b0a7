#ifndef SKYLARKCROFT_CLAIMS_SKYLARKCROFT_CLAIM_RECORD_H_
#define SKYLARKCROFT_CLAIMS_SKYLARKCROFT_CLAIM_RECORD_H_

#include <cstdint>
#include <optional>
#include <string>

#include "skylarkcroft/http/skylarkcroft_http_message.h"
#include "skylarkcroft/platform/skylarkcroft_table_service.h"

namespace skylarkcroft {

/// How far the request of an idempotency key has come.
enum class claim_state {
  kClaimed,   ///< A node holds the key; nothing has been sent.
  kSent,      ///< The holder may have sent the request; nobody else may.
  kDone,      ///< It ran; the response is stored.
  kUnknown,   ///< It was sent and its outcome could not be found.
  kReleased,  ///< It certainly did not run; the key is free again.
};

/// The stored claim of one caller's idempotency key.
struct claim_record {
  claim_state state = claim_state::kClaimed;
  /// Raised by each takeover.
  int64_t number = 1;
  /// Request that holds the claim.
  std::string request_id;
  /// SHA-256 of the method, target and body.
  std::string fingerprint;
  /// Upstream the request was sent to, for asking after its outcome.
  std::string upstream;
  /// Wall clock after which an unsent claim may be taken over.
  int64_t expires_at_ms = 0;
  /// Wall clock after which the holder no longer works on it.
  int64_t deadline_ms = 0;
  /// Set in kDone unless the body was too large to keep.
  std::optional<http_response> response;

  bool operator==(const claim_record&) const = default;
};

/// Key of the row for `idempotency_key` of `caller_name`.
row_key ClaimKey(const std::string& caller_name,
                 const std::string& idempotency_key);

std::string EncodeClaim(const claim_record& record);

/// Empty when `document` is not a claim.
std::optional<claim_record> DecodeClaim(const std::string& document);

/// Digest by which two requests under one key are told apart.
std::string FingerprintOf(const http_request& request);

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_CLAIMS_SKYLARKCROFT_CLAIM_RECORD_H_
