#include "skylarkcroft/relay/skylarkcroft_attempt_rules.h"

namespace skylarkcroft {

std::string_view ToString(attempt_failure failure) {
  switch (failure) {
    case attempt_failure::kNoConnection:
      return "no_connection";
    case attempt_failure::kDeclined:
      return "declined";
    case attempt_failure::kOtherProcess:
      return "other_process";
    case attempt_failure::kBroken:
      return "broken";
    case attempt_failure::kMalformed:
      return "malformed";
    case attempt_failure::kSilent:
      return "silent";
    case attempt_failure::kErrorAnswer:
      return "error_answer";
  }
  return "unknown";
}

bool IsCertainlyNotRun(attempt_failure failure) {
  return failure == attempt_failure::kNoConnection ||
         failure == attempt_failure::kDeclined ||
         failure == attempt_failure::kOtherProcess;
}

bool MayRepeat(const repeat_view& view) {
  if (!view.time_left) {
    return false;
  }
  if (view.answer_begun && !view.resumable) {
    return false;
  }
  if (!IsCertainlyNotRun(view.failure) && !view.may_run_twice) {
    return false;
  }
  return view.upstreams_used < view.max_attempts;
}

final_answer DecideFinal(bool any_may_have_run, bool answer_begun,
                         bool out_of_time) {
  if (answer_begun) {
    return final_answer::kBreak;
  }
  if (!any_may_have_run) {
    return final_answer::kNotRun;
  }
  return out_of_time ? final_answer::kTimeout : final_answer::kUnknown;
}

}  // namespace skylarkcroft
