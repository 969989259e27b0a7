// The steps of a request before its first attempt.
#include <algorithm>
#include <charconv>
#include <utility>

#include "skylarkcroft/relay/skylarkcroft_quota_admission.h"
#include "skylarkcroft/relay/skylarkcroft_relay_request.h"

namespace skylarkcroft {
namespace {

// A longer time is as good as none, and sums with it cannot overflow.
constexpr int64_t kMaxStatedMs = int64_t{24} * 3600 * 1000;

std::optional<int64_t> ParseNumber(const std::string& text) {
  int64_t value = 0;
  const auto parsed =
      std::from_chars(text.data(), text.data() + text.size(), value);
  if (parsed.ec != std::errc()) {
    return std::nullopt;
  }
  return value;
}

}  // namespace

bool relay_request::CheckGate() {
  const http_headers& headers = request_.head.headers;
  const std::string host = headers.Get("Host");
  const std::string key = headers.Get(environment_.names.key);
  const std::string_view target = request_.head.target;
  const gate_request gate_input{host, target.substr(0, target.find('?')),
                                headers.Has(environment_.names.key)
                                    ? std::optional<std::string_view>(key)
                                    : std::nullopt};
  gate_ =
      DecideGate(gate_input, tables_, environment_.gate, environment_.clock());
  record_.tables_age = gate_.tables_age;
  if (tables_.tables != nullptr) {
    record_.tables_version = tables_.tables->map().version;
  }
  if (gate_.route != nullptr) {
    record_.route = gate_.route->name;
  }
  if (gate_.workspace != nullptr) {
    record_.workspace = gate_.workspace->name;
  }
  switch (gate_.verdict) {
    case gate_verdict::kPass:
      return true;
    case gate_verdict::kNoRoute:
      RespondWithError(kNotFound, "no_route", milliseconds(0));
      return false;
    case gate_verdict::kUnknownKey:
      RespondWithError(kUnauthorized, "unknown_key", milliseconds(0));
      return false;
    case gate_verdict::kTablesUnknown:
    case gate_verdict::kTablesStale:
      RespondWithError(kUnavailable, std::string(ToString(gate_.verdict)),
                       environment_.parameters.other_node_retry);
      return false;
  }
  return false;
}

void relay_request::ChooseRoutedService() {
  SetService(ChooseService(*gate_.route, environment_.uniform_random()));
}

void relay_request::SetService(const std::string& service) {
  service_name_ = service;
  record_.service = service_name_;
  const service_pool* pool = tables_.tables->FindPool(service_name_);
  prompt_key prompt;
  if (pool != nullptr && pool->engine.has_value()) {
    cache_tokens_ = pool->engine->cache_tokens;
    prompt = MakePromptKey(service_name_, generation_);
  }
  const request_key key =
      MakeRequestKey({service_name_, request_.head.method, request_.head.target,
                      record_.workspace, *body_});
  record_.request_key = ToString(std::vector<part_key>{key});
  crashes_.SetRequest(std::move(prompt), key);
}

bool relay_request::CheckQuarantine() {
  const quarantine_verdict verdict = crashes_.Decide(environment_.clock());
  if (verdict.decision == quarantine_decision::kAllowed) {
    return true;
  }
  RespondWithError(kUnavailable, std::string(ToString(verdict.decision)),
                   verdict.remaining);
  return false;
}

bool relay_request::AcquireQuota() {
  quota_need need{gate_.workspace, gate_.route->rank, std::nullopt,
                  RemainingTime(environment_.clock())};
  if (request_.head.headers.Has(environment_.names.token_counts)) {
    need.stated_tokens = static_cast<double>(generation_.TotalTokens());
  }
  const quota_admission admission = AdmitByQuota(environment_, need, record_);
  if (!admission.reason.empty()) {
    RespondWithError(kTooManyRequests, std::string(admission.reason),
                     admission.retry_after);
    return false;
  }
  acquired_tokens_ = admission.acquired;
  return true;
}

void relay_request::SetDeadline() {
  const std::optional<int64_t> requested =
      ParseNumber(request_.head.headers.Get(environment_.names.remaining_ms));
  milliseconds limit = environment_.parameters.default_time_limit;
  if (requested.has_value()) {
    limit = milliseconds(std::clamp<int64_t>(*requested, 0, kMaxStatedMs));
    stated_time_ = limit;
  }
  if (gate_.route->timeout.count() > 0) {
    limit = std::min(limit, gate_.route->timeout);
  }
  record_.time_given = limit;
  deadline_ = request_.arrived_at + limit;
}

bool relay_request::AdmitToService(bool placed_full, time_point now) {
  const bool is_ordered = cache_tokens_ > 0 && gate_.workspace != nullptr &&
                          gate_.workspace->tokens_per_second > 0;
  if (!is_ordered) {
    return true;
  }
  const service_request request{service_name_,
                                record_.workspace,
                                urgency_,
                                static_cast<double>(generation_.TotalTokens()),
                                RemainingTime(now),
                                placed_full,
                                environment_.uniform_random(),
                                environment_.uniform_random()};
  const service_admission_decision decision = environment_.service_order.Decide(
      request,
      [this, now] {
        return environment_.balancer.Room(service_name_, cache_tokens_, now);
      },
      now);
  record_.service_fill = decision.fill;
  record_.service_max_fill = decision.max_fill;
  if (!decision.admitted) {
    EndWithError(final_response::kNotExecuted, "service_full", decision.wait);
  }
  return decision.admitted;
}

}  // namespace skylarkcroft
