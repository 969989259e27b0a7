#include "skylarkcroft/attempt/skylarkcroft_accepted_request.h"

namespace skylarkcroft {

int64_t accepted_request::EstimatedTokens() const {
  return completion ? completion->PromptTokens() + completion->max_tokens : 1;
}

bool IsIdempotent(const route& via, const std::string& method,
                  bool is_completion) {
  switch (via.repeat) {
    case idempotency::kAlways:
      return true;
    case idempotency::kNever:
      return false;
    case idempotency::kByMethod:
      break;
  }
  // Generating text has no effect beyond its answer.
  return is_completion || (method != "POST" && method != "PATCH");
}

}  // namespace skylarkcroft
