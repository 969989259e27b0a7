#ifndef SKYLARKCROFT_ATTEMPT_SKYLARKCROFT_ACCEPTED_REQUEST_H_
#define SKYLARKCROFT_ATTEMPT_SKYLARKCROFT_ACCEPTED_REQUEST_H_

#include <cstdint>
#include <optional>
#include <string>

#include "skylarkcroft/attempt/skylarkcroft_completion_request.h"
#include "skylarkcroft/http/skylarkcroft_http_message.h"
#include "skylarkcroft/internal/skylarkcroft_time.h"
#include "skylarkcroft/tables/skylarkcroft_table_set.h"

namespace skylarkcroft {

/// A client's request with its matched route and pool, taken from the tables
/// that were active when the request arrived.
struct accepted_request {
  /// `NODE.INCARNATION.NUMBER`.
  std::string id;
  table_set_ptr tables;
  caller from;
  route matched_route;
  pool target;
  time_point arrived{};
  time_point deadline{};
  bool idempotent = false;
  /// Value of the Idempotency-Key header; empty when it was not sent.
  std::string idempotency_key;
  http_request original;
  /// The parsed body. Set only when the route's pool runs engines.
  std::optional<completion_request> completion;

  /// Prompt tokens plus `max_tokens`; 1 for a request to a plain service.
  [[nodiscard]] int64_t EstimatedTokens() const;
};

/// Builds the request, except for its `id`, from the matched route. Throws
/// config_error when the pool runs engines and the body is not a valid
/// completion request.
accepted_request MakeAcceptedRequest(const http_request& original,
                                     const caller& from,
                                     const route& matched_route,
                                     const table_set_ptr& tables,
                                     time_point now);

/// True when the request may be executed more than once: the route says so, or
/// leaves it to the method and RFC 9110 defines the method as idempotent.
/// Completions count as idempotent too.
bool IsIdempotent(const route& matched_route, const std::string& method,
                  bool is_completion);

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_ATTEMPT_SKYLARKCROFT_ACCEPTED_REQUEST_H_
