#ifndef SKYLARKCROFT_HTTP_SKYLARKCROFT_REFUSAL_REASON_H_
#define SKYLARKCROFT_HTTP_SKYLARKCROFT_REFUSAL_REASON_H_

#include <array>
#include <string_view>

namespace skylarkcroft {

/// Why a request was not answered as asked.
enum class refusal_reason {
  kUnauthenticated,
  kNoRoute,
  kMethodNotAllowed,
  kBadRequest,
  kBodyTooLarge,
  kQueueFull,
  kDeadlineUnreachable,  ///< The queue cannot meet the caller's deadline.
  kOverCallerLimit,      ///< The caller's own limit is used up.
  kOverShare,            ///< The caller or rank holds more than its share.
  kNoUpstream,
  kPromptQuarantined,   ///< Parts of the prompt crash upstreams.
  kRequestQuarantined,  ///< Upstreams crashed under this request.
  kUpstreamFailed,
  kUpstreamTimeout,
  kOutcomeUnknown,
  kKeyReused,      ///< The idempotency key belongs to another request.
  kClaimConflict,  ///< Another request with this idempotency key is running.
  kStoreUnavailable,
  kNotReady,
  kShuttingDown,
  kNotFound,
  kInternal,
};

/// Every reason, for counters that exist from the start.
inline constexpr std::array<refusal_reason, 22> kRefusalReasons = {
    refusal_reason::kUnauthenticated,
    refusal_reason::kNoRoute,
    refusal_reason::kMethodNotAllowed,
    refusal_reason::kBadRequest,
    refusal_reason::kBodyTooLarge,
    refusal_reason::kQueueFull,
    refusal_reason::kDeadlineUnreachable,
    refusal_reason::kOverCallerLimit,
    refusal_reason::kOverShare,
    refusal_reason::kNoUpstream,
    refusal_reason::kPromptQuarantined,
    refusal_reason::kRequestQuarantined,
    refusal_reason::kUpstreamFailed,
    refusal_reason::kUpstreamTimeout,
    refusal_reason::kOutcomeUnknown,
    refusal_reason::kKeyReused,
    refusal_reason::kClaimConflict,
    refusal_reason::kStoreUnavailable,
    refusal_reason::kNotReady,
    refusal_reason::kShuttingDown,
    refusal_reason::kNotFound,
    refusal_reason::kInternal,
};

/// Name in snake case, as in problem documents and counters.
std::string_view ToString(refusal_reason reason);

/// HTTP status that goes with `reason`.
int StatusOf(refusal_reason reason);

/// One-line summary of `reason` for a person.
std::string_view TitleOf(refusal_reason reason);

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_HTTP_SKYLARKCROFT_REFUSAL_REASON_H_
