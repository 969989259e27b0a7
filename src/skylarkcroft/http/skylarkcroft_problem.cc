#include "skylarkcroft/http/skylarkcroft_problem.h"

#include <nlohmann/json.hpp>
#include <utility>

namespace skylarkcroft {

std::string_view ToString(run_state state) {
  switch (state) {
    case run_state::kNotRun:
      return "not_run";
    case run_state::kRan:
      return "ran";
    case run_state::kUnknown:
      return "unknown";
  }
  return "unknown";
}

problem MakeProblem(refusal_reason reason, run_state run, std::string detail,
                    std::string request_id) {
  return {.status = StatusOf(reason),
          .reason = reason,
          .title = std::string(TitleOf(reason)),
          .detail = std::move(detail),
          .run = run,
          .request_id = std::move(request_id)};
}

http_response ToResponse(const problem& failure) {
  nlohmann::ordered_json body = {{"type", "about:blank"},
                                 {"title", failure.title},
                                 {"status", failure.status},
                                 {"detail", failure.detail},
                                 {"reason", ToString(failure.reason)},
                                 {"run_state", ToString(failure.run)}};
  http_response response;
  response.status = failure.status;
  if (!failure.request_id.empty()) {
    body["request_id"] = failure.request_id;
    response.headers.Add("X-Request-Id", failure.request_id);
  }
  if (!failure.continue_at.empty()) {
    body["continue_at"] = failure.continue_at;
    response.headers.Add("Location", failure.continue_at);
  }
  response.headers.Add("Content-Type", "application/problem+json");
  if (failure.retry_after.has_value()) {
    response.headers.Add("Retry-After",
                         std::to_string(failure.retry_after->count()));
  }
  response.body = body.dump(-1, ' ', false,
                            nlohmann::ordered_json::error_handler_t::replace);
  return response;
}

}  // namespace skylarkcroft
