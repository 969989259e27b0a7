#include "skylarkcroft/attempt/skylarkcroft_accepted_request.h"

namespace skylarkcroft {

int64_t accepted_request::EstimatedTokens() const {
  return completion ? completion->PromptTokens() + completion->max_tokens : 1;
}

accepted_request MakeAcceptedRequest(const http_request& original,
                                     const caller& from,
                                     const route& matched_route,
                                     const table_set_ptr& tables,
                                     time_point now) {
  accepted_request request;
  request.tables = tables;
  request.from = from;
  request.matched_route = matched_route;
  request.target = *tables->pools.Find(matched_route.pool);
  request.arrived = now;
  request.deadline =
      now + matched_route.deadline.value_or(
                tables->routes.PolicyOf(matched_route.work_rank).deadline);
  request.original = original;
  request.idempotency_key = original.headers.Get("Idempotency-Key");
  const bool is_completion = request.target.kind == pool_kind::kEngine;
  if (is_completion) {
    request.completion = ParseCompletionRequest(original.path(), original.body,
                                                matched_route.work_rank);
  }
  request.idempotent =
      IsIdempotent(matched_route, original.method, is_completion);
  return request;
}

bool IsIdempotent(const route& matched_route, const std::string& method,
                  bool is_completion) {
  switch (matched_route.idempotency_rule) {
    case idempotency::kAlways:
      return true;
    case idempotency::kNever:
      return false;
    case idempotency::kByMethod:
      break;
  }
  // Generating text has no side effects.
  return is_completion || (method != "POST" && method != "PATCH");
}

}  // namespace skylarkcroft
