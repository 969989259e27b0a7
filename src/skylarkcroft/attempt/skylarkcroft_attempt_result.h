#ifndef SKYLARKCROFT_ATTEMPT_SKYLARKCROFT_ATTEMPT_RESULT_H_
#define SKYLARKCROFT_ATTEMPT_SKYLARKCROFT_ATTEMPT_RESULT_H_

#include <string>
#include <string_view>

#include "skylarkcroft/http/skylarkcroft_http_message.h"
#include "skylarkcroft/internal/skylarkcroft_time.h"

namespace skylarkcroft {

/// How one try at an upstream ended.
enum class attempt_outcome {
  kComplete,       ///< The whole answer arrived.
  kRefused,        ///< The upstream stated that it did not run the request.
  kRejected,       ///< A definitive 4xx; another upstream would say the same.
  kFailed,         ///< A 5xx without a statement on whether it ran.
  kConnectFailed,  ///< No byte was sent.
  kBroken,         ///< The connection or stream failed part of the way.
  kTimedOut,       ///< No progress for the pool's progress timeout.
  kMalformed,      ///< The answer breaks the upstream protocol.
  kCancelled,      ///< This node gave it up; says nothing of the upstream.
};

/// Lower-case name of `outcome`, for logs and counters.
std::string_view ToString(attempt_outcome outcome);

/// What is known of a try that has ended.
struct attempt_result {
  attempt_outcome outcome = attempt_outcome::kBroken;
  /// False only when it is certain that the upstream did not run the request.
  bool may_have_run = true;
  /// Status, headers and body for kRejected and for plain services.
  http_response response;

  bool operator==(const attempt_result&) const = default;
};

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_ATTEMPT_SKYLARKCROFT_ATTEMPT_RESULT_H_
