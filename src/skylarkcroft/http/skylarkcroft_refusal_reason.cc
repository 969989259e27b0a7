#include "skylarkcroft/http/skylarkcroft_refusal_reason.h"

namespace skylarkcroft {
namespace {

struct reason_text {
  refusal_reason reason;
  int status;
  std::string_view name;
  std::string_view title;
};

constexpr reason_text kUnlisted = {refusal_reason::kInternal, 500, "internal",
                                   "Internal error"};

constexpr std::array<reason_text, kRefusalReasons.size()> kTexts = {{
    {refusal_reason::kUnauthenticated, 401, "unauthenticated",
     "No valid bearer key"},
    {refusal_reason::kNoRoute, 404, "no_route", "No route for this request"},
    {refusal_reason::kMethodNotAllowed, 405, "method_not_allowed",
     "Method not allowed"},
    {refusal_reason::kBadRequest, 400, "bad_request", "Bad request"},
    {refusal_reason::kBodyTooLarge, 413, "body_too_large",
     "Request body too large"},
    {refusal_reason::kQueueFull, 503, "queue_full", "Queue full"},
    {refusal_reason::kDeadlineUnreachable, 503, "deadline_unreachable",
     "Deadline cannot be met"},
    {refusal_reason::kOverCallerLimit, 429, "over_caller_limit",
     "Over the caller's limit"},
    {refusal_reason::kOverShare, 429, "over_share", "Over the fair share"},
    {refusal_reason::kNoUpstream, 503, "no_upstream", "No upstream available"},
    {refusal_reason::kPromptQuarantined, 503, "prompt_quarantined",
     "Prompt crashes upstreams"},
    {refusal_reason::kRequestQuarantined, 503, "request_quarantined",
     "Request crashes upstreams"},
    {refusal_reason::kUpstreamFailed, 502, "upstream_failed",
     "Upstream failed"},
    {refusal_reason::kUpstreamTimeout, 504, "upstream_timeout",
     "Upstream timed out"},
    {refusal_reason::kOutcomeUnknown, 504, "outcome_unknown",
     "Outcome unknown"},
    {refusal_reason::kKeyReused, 422, "key_reused",
     "Idempotency key used for another request"},
    {refusal_reason::kClaimConflict, 409, "claim_conflict",
     "Request with this idempotency key is running"},
    {refusal_reason::kStoreUnavailable, 503, "store_unavailable",
     "Table service unavailable"},
    {refusal_reason::kNotReady, 503, "not_ready", "Node not ready"},
    {refusal_reason::kShuttingDown, 503, "shutting_down", "Node shutting down"},
    {refusal_reason::kNotFound, 404, "not_found", "Not found"},
    kUnlisted,
}};

const reason_text& TextOf(refusal_reason reason) {
  for (const reason_text& text : kTexts) {
    if (text.reason == reason) {
      return text;
    }
  }
  return kUnlisted;
}

}  // namespace

std::string_view ToString(refusal_reason reason) { return TextOf(reason).name; }

int StatusOf(refusal_reason reason) { return TextOf(reason).status; }

std::string_view TitleOf(refusal_reason reason) { return TextOf(reason).title; }

}  // namespace skylarkcroft
