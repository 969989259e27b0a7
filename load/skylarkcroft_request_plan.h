#ifndef SKYLARKCROFT_LOAD_SKYLARKCROFT_REQUEST_PLAN_H_
#define SKYLARKCROFT_LOAD_SKYLARKCROFT_REQUEST_PLAN_H_

#include <string>

#include "load/skylarkcroft_experiment_definition.h"
#include "skylarkcroft/http/skylarkcroft_http_message.h"
#include "skylarkcroft/internal/skylarkcroft_time.h"

namespace skylarkcroft::load {

/// One request that is about to be sent.
struct request_plan {
  int caller = 1;
  /// Prompt, or body of a call to a plain service.
  std::string content;
  /// Empty when the request carries none.
  std::string idempotency_key;
  /// The arrival that latencies count from.
  time_point intended;

  bool operator==(const request_plan&) const = default;
};

/// Bearer key of caller number `caller` of `group`.
std::string CallerKey(const caller_group& group, int caller);

/// The request itself, in the form that the route's upstreams speak.
http_request MakeRequest(const caller_group& group, const request_plan& plan);

/// `GET target` by the caller that made the request, to fetch its answer.
http_request MakeFollowUp(const caller_group& group, const request_plan& plan,
                          const std::string& target);

}  // namespace skylarkcroft::load

#endif  // SKYLARKCROFT_LOAD_SKYLARKCROFT_REQUEST_PLAN_H_
