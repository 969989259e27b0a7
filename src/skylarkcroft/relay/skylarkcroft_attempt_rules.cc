#include "skylarkcroft/relay/skylarkcroft_attempt_rules.h"

namespace skylarkcroft {

std::string_view ToString(attempt_failure failure) {
  switch (failure) {
    case attempt_failure::kNoConnection:
      return "no_connection";
    case attempt_failure::kDeclined:
      return "declined";
    case attempt_failure::kMisdirected:
      return "other_process";
    case attempt_failure::kBroken:
      return "broken";
    case attempt_failure::kMalformed:
      return "malformed";
    case attempt_failure::kSilent:
      return "silent";
    case attempt_failure::kErrorResponse:
      return "error_answer";
  }
  return "unknown";
}

bool IsKnownNotExecuted(attempt_failure failure) {
  return failure == attempt_failure::kNoConnection ||
         failure == attempt_failure::kDeclined ||
         failure == attempt_failure::kMisdirected;
}

bool MayRetry(const retry_context& context) {
  if (!context.has_time_left) {
    return false;
  }
  if (context.response_started && !context.resumable) {
    return false;
  }
  if (!IsKnownNotExecuted(context.failure) && !context.idempotent) {
    return false;
  }
  return context.upstreams_used < context.max_attempts;
}

final_response ChooseFinalResponse(bool any_may_have_executed,
                                   bool response_started,
                                   bool deadline_passed) {
  if (response_started) {
    return final_response::kAbort;
  }
  if (!any_may_have_executed) {
    return final_response::kNotExecuted;
  }
  return deadline_passed ? final_response::kTimeout : final_response::kUnknown;
}

}  // namespace skylarkcroft
