#include "skylarkcroft/attempt/skylarkcroft_attempt_result.h"

namespace skylarkcroft {

std::string_view ToString(attempt_outcome outcome) {
  switch (outcome) {
    case attempt_outcome::kComplete:
      return "complete";
    case attempt_outcome::kRefused:
      return "refused";
    case attempt_outcome::kRejected:
      return "rejected";
    case attempt_outcome::kFailed:
      return "failed";
    case attempt_outcome::kConnectFailed:
      return "connect_failed";
    case attempt_outcome::kBroken:
      return "broken";
    case attempt_outcome::kTimedOut:
      return "timed_out";
    case attempt_outcome::kMalformed:
      return "malformed";
    case attempt_outcome::kCancelled:
      return "cancelled";
  }
  return "unknown";
}

}  // namespace skylarkcroft
