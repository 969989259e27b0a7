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

/// A caller's request with the route it was matched to, as of the tables that
/// were in force when it came in.
struct accepted_request {
  /// `NODE.INCARNATION.NUMBER`.
  std::string id;
  table_set_ptr tables;
  caller from;
  route via;
  pool target;
  time_point arrived{};
  time_point deadline{};
  bool idempotent = false;
  /// The caller's Idempotency-Key; empty when there is none.
  std::string idempotency_key;
  http_request original;
  /// Set for engine pools.
  std::optional<completion_request> completion;

  /// Prompt tokens and the most it may generate; 1 for a plain service.
  [[nodiscard]] int64_t EstimatedTokens() const;
};

/// Fills in what depends on the route. Throws config_error for a body that the
/// pool's engines could not read.
accepted_request MakeAcceptedRequest(const http_request& original,
                                     const caller& from, const route& via,
                                     const table_set_ptr& tables,
                                     time_point now);

/// True when RFC 9110 or the route allows sending the request more than once.
bool IsIdempotent(const route& via, const std::string& method,
                  bool is_completion);

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_ATTEMPT_SKYLARKCROFT_ACCEPTED_REQUEST_H_
