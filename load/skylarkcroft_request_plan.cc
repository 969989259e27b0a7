#include "load/skylarkcroft_request_plan.h"

#include <nlohmann/json.hpp>

namespace skylarkcroft::load {
namespace {

http_headers CallerHeaders(const caller_group& group,
                           const request_plan& plan) {
  http_headers headers;
  headers.Add("Authorization",
              "Bearer " + group.key_prefix + "-" + std::to_string(plan.caller));
  return headers;
}

std::string CompletionBody(const caller_group& group,
                           const request_plan& plan) {
  nlohmann::json body = {{"model", group.model},
                         {"max_tokens", group.max_tokens},
                         {"stream", group.stream}};
  if (group.path.ends_with("/chat/completions")) {
    body["messages"] = {{{"role", "user"}, {"content", plan.content}}};
  } else {
    body["prompt"] = plan.content;
  }
  return body.dump();
}

}  // namespace

std::string CallerKey(const caller_group& group, int caller) {
  return group.key_prefix + "-" + std::to_string(caller);
}

http_request MakeRequest(const caller_group& group, const request_plan& plan) {
  http_request request;
  request.target = group.path;
  request.headers = CallerHeaders(group, plan);
  if (!plan.idempotency_key.empty()) {
    request.headers.Add("Idempotency-Key", plan.idempotency_key);
  }
  if (group.kind == request_kind::kPlain) {
    request.method = group.method;
    request.body = plan.content;
    return request;
  }
  request.method = "POST";
  request.headers.Add("Content-Type", "application/json");
  if (group.kind == request_kind::kDeferred) {
    request.headers.Add("Prefer", "respond-async");
  }
  request.body = CompletionBody(group, plan);
  return request;
}

http_request MakeFollowUp(const caller_group& group, const request_plan& plan,
                          const std::string& target) {
  return {"GET", target, CallerHeaders(group, plan), ""};
}

}  // namespace skylarkcroft::load
