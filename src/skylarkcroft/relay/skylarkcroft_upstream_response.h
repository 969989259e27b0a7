#ifndef SKYLARKCROFT_RELAY_SKYLARKCROFT_UPSTREAM_RESPONSE_H_
#define SKYLARKCROFT_RELAY_SKYLARKCROFT_UPSTREAM_RESPONSE_H_

#include <optional>
#include <string>
#include <string_view>

#include "skylarkcroft/relay/skylarkcroft_attempt_rules.h"
#include "skylarkcroft/relay/skylarkcroft_header_names.h"
#include "skylarkcroft/relay/skylarkcroft_upstream_connections.h"
#include "skylarkcroft/wire/skylarkcroft_message_reader.h"

namespace skylarkcroft {

/// HTTP statuses that the relay sends itself or distinguishes in responses.
inline constexpr int kOk = 200;
inline constexpr int kNoContent = 204;
inline constexpr int kFirstRedirect = 300;
inline constexpr int kUnauthorized = 401;
inline constexpr int kNotFound = 404;
inline constexpr int kRequestTimeout = 408;
inline constexpr int kMisdirected = 421;
inline constexpr int kTooManyRequests = 429;
inline constexpr int kFirstServerError = 500;
inline constexpr int kBadGateway = 502;
inline constexpr int kUnavailable = 503;
inline constexpr int kGatewayTimeout = 504;

bool IsSuccess(int status);

/// Whether the status tells a client that the request was not executed.
bool ImpliesNotExecuted(int status);

bool IsEventStream(const message_head& head);

/// How the body of a response is delimited: `chunked`, `length` or
/// `connection`.
std::string_view FramingOf(const message_head& head);

/// The failure of an exchange that ended without a complete response.
std::optional<attempt_failure> FailureOf(exchange_result result);

/// What the head of an upstream's response is checked against.
struct response_context {
  std::string request_id;  ///< Empty if the client sent none.
  /// Whether an earlier request was sent on the connection.
  bool on_kept_connection = false;
  /// Part of an earlier attempt's response has been sent to the client.
  bool response_started = false;
};

/// True for a response without the request's id on a connection that was used
/// before: a faulty upstream may have written an earlier one once more.
bool MayBeRepeated(const message_head& head, const response_context& context,
                   const header_names& names);

/// The failure that the response head indicates; empty if the response is to be
/// forwarded.
std::optional<attempt_failure> ClassifyFailure(const message_head& head,
                                               const response_context& context,
                                               const header_names& names);

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_RELAY_SKYLARKCROFT_UPSTREAM_RESPONSE_H_
