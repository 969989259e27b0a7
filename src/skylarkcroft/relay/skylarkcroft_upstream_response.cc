#include "skylarkcroft/relay/skylarkcroft_upstream_response.h"

namespace skylarkcroft {
namespace {

// True for a success response that is not proven to be this upstream's response
// to this request: unsigned, content-encoded or with another id.
bool IsForeign(const message_head& head, const response_context& context,
               const header_names& names) {
  if (!IsSuccess(head.status)) {
    return false;
  }
  return !head.headers.Has(names.signature) ||
         head.headers.Has("Content-Encoding") ||
         (!context.request_id.empty() &&
          head.headers.Get(names.request_id) != context.request_id);
}

}  // namespace

bool IsSuccess(int status) { return status >= kOk && status < kFirstRedirect; }

bool ImpliesNotExecuted(int status) {
  return status == kUnavailable || status == kTooManyRequests ||
         status == kRequestTimeout || status == kMisdirected;
}

bool IsEventStream(const message_head& head) {
  return IsSuccess(head.status) &&
         head.headers.Get("Content-Type").starts_with("text/event-stream");
}

std::string_view FramingOf(const message_head& head) {
  if (head.chunked) {
    return "chunked";
  }
  return head.content_length.has_value() ? "length" : "connection";
}

std::optional<attempt_failure> FailureOf(exchange_result result) {
  switch (result) {
    case exchange_result::kNoConnection:
      return attempt_failure::kNoConnection;
    case exchange_result::kBroken:
      return attempt_failure::kBroken;
    case exchange_result::kMalformed:
      return attempt_failure::kMalformed;
    case exchange_result::kComplete:
      return std::nullopt;
  }
  return std::nullopt;
}

bool MayBeRepeated(const message_head& head, const response_context& context,
                   const header_names& names) {
  return context.on_kept_connection && !context.request_id.empty() &&
         head.headers.Get(names.request_id) != context.request_id;
}

std::optional<attempt_failure> ClassifyFailure(const message_head& head,
                                               const response_context& context,
                                               const header_names& names) {
  if (MayBeRepeated(head, context, names)) {
    return attempt_failure::kMalformed;
  }
  if (head.status == kMisdirected) {
    return attempt_failure::kMisdirected;
  }
  if (head.headers.Has(names.not_executed)) {
    return attempt_failure::kDeclined;
  }
  if (IsForeign(head, context, names)) {
    return attempt_failure::kMalformed;
  }
  if (head.status >= kFirstServerError || ImpliesNotExecuted(head.status)) {
    return attempt_failure::kErrorResponse;
  }
  if (context.response_started && !IsEventStream(head)) {
    // Only a stream can continue what the client has got so far.
    return IsSuccess(head.status) ? attempt_failure::kMalformed
                                  : attempt_failure::kErrorResponse;
  }
  return std::nullopt;
}

}  // namespace skylarkcroft
