#ifndef SKYLARKCROFT_HTTP_SKYLARKCROFT_PROBLEM_H_
#define SKYLARKCROFT_HTTP_SKYLARKCROFT_PROBLEM_H_

#include <chrono>
#include <optional>
#include <string>
#include <string_view>

#include "skylarkcroft/http/skylarkcroft_http_message.h"
#include "skylarkcroft/http/skylarkcroft_refusal_reason.h"

namespace skylarkcroft {

/// What is known about the execution of a failed request.
enum class run_state {
  kNotRun,   ///< It was not run.
  kRan,      ///< It ran; its answer was lost.
  kUnknown,  ///< It may have run.
};

std::string_view ToString(run_state state);

/// An error told to a caller, RFC 9457.
struct problem {
  int status = 0;
  refusal_reason reason = refusal_reason::kInternal;
  std::string title{};
  std::string detail{};
  run_state run = run_state::kUnknown;
  std::optional<std::chrono::seconds> retry_after{};
  std::string request_id{};
  /// Path at which any node gives the rest of the answer; empty for none.
  std::string continue_at{};

  bool operator==(const problem&) const = default;
};

/// A problem with the status and title that go with `reason`.
problem MakeProblem(refusal_reason reason, run_state run, std::string detail,
                    std::string request_id);

/// The application/problem+json response: members `type`, `title`, `status`,
/// `detail`, `reason`, `run_state`, `request_id` and `continue_at`, with the
/// headers `X-Request-Id` and, where it is known, `Retry-After`.
http_response ToResponse(const problem& failure);

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_HTTP_SKYLARKCROFT_PROBLEM_H_
