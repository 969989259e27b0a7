#ifndef SKYLARKCROFT_ATTEMPT_SKYLARKCROFT_ATTEMPT_RESULT_H_
#define SKYLARKCROFT_ATTEMPT_SKYLARKCROFT_ATTEMPT_RESULT_H_

#include <string>
#include <string_view>

#include "skylarkcroft/http/skylarkcroft_http_message.h"
#include "skylarkcroft/internal/skylarkcroft_time.h"

namespace skylarkcroft {

/// How one attempt at an upstream ended.
enum class attempt_outcome {
  kComplete,  ///< The whole response arrived.
  kRefused,   ///< The upstream reports that it did not execute the request.
  kRejected,  ///< A 4xx that any other upstream would return too.
  kFailed,    ///< A 5xx that doesn't tell whether the request was executed.
  kConnectFailed,  ///< No connection; no byte of the request was sent.
  kBroken,    ///< The connection or stream ended before the response was whole.
  kTimedOut,  ///< No byte arrived for the progress timeout.
  kMalformed,  ///< The response violates the upstream protocol.
  kCancelled,  ///< Cancelled by this node; no evidence on the upstream's
               ///< health.
};

/// Name of `outcome` in snake_case, for logs and counters.
std::string_view ToString(attempt_outcome outcome);

/// The result of an attempt that has ended.
struct attempt_result {
  attempt_outcome outcome = attempt_outcome::kBroken;
  /// False only when the upstream certainly did not execute the request.
  bool may_have_run = true;
  /// The upstream's response, from a plain service or with an error status;
  /// empty when none arrived.
  http_response response;

  bool operator==(const attempt_result&) const = default;
};

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_ATTEMPT_SKYLARKCROFT_ATTEMPT_RESULT_H_
