#ifndef SKYLARKCROFT_RELAY_SKYLARKCROFT_ATTEMPT_RULES_H_
#define SKYLARKCROFT_RELAY_SKYLARKCROFT_ATTEMPT_RULES_H_

#include <string_view>

namespace skylarkcroft {

/// How one attempt at an upstream failed.
enum class attempt_failure {
  kNoConnection,   ///< Connecting failed; nothing was sent.
  kDeclined,       ///< The upstream states that it did not execute the request.
  kMisdirected,    ///< 421: another process owns the address; not executed.
  kBroken,         ///< The connection ended after the request was sent.
  kMalformed,      ///< The bytes received are not a response to this request.
  kSilent,         ///< No byte arrived within the silence limit.
  kErrorResponse,  ///< The upstream executed the request and returned an error.
};

/// The failure's name in logs and metrics.
std::string_view ToString(attempt_failure failure);

/// True if the failure proves that the upstream did not execute the request.
bool IsKnownNotExecuted(attempt_failure failure);

/// Inputs to the decision whether a failed attempt is retried.
struct retry_context {
  attempt_failure failure = attempt_failure::kNoConnection;
  /// The route allows a request to be executed more than once.
  bool idempotent = false;
  /// Part of the response has been sent to the client.
  bool response_started = false;
  /// A further attempt can continue the response where it stopped.
  bool resumable = false;
  int upstreams_used = 0;  ///< Upstreams that the request was sent to.
  int max_attempts = 1;
  bool has_time_left = true;
};

/// Whether the request may be sent to another upstream. Does not consider the
/// retry budget.
bool MayRetry(const retry_context& context);

/// What the client gets when no upstream gave a usable response.
enum class final_response {
  kNotExecuted,  ///< 503: the request was not executed and will not be.
  kUnknown,      ///< 502: the request may have been executed.
  kTimeout,      ///< 504: it may have been executed; its deadline has passed.
  kAbort,        ///< The response has started; the connection is closed.
};

/// `any_may_have_executed` is true if any attempt so far may have executed the
/// request.
final_response ChooseFinalResponse(bool any_may_have_executed,
                                   bool response_started, bool deadline_passed);

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_RELAY_SKYLARKCROFT_ATTEMPT_RULES_H_
