#include "skylarkcroft/attempt/skylarkcroft_outcome_poller.h"

#include <event2/http.h>

#include <cstdlib>
#include <memory>
#include <nlohmann/json.hpp>
#include <utility>

#include "skylarkcroft/internal/skylarkcroft_bounded_json.h"

namespace skylarkcroft {
namespace {

constexpr milliseconds kPollPeriod{300};
constexpr milliseconds kPollTimeout{1000};

std::string EscapePath(const std::string& text) {
  const std::unique_ptr<char, decltype(&std::free)> escaped(
      evhttp_uriencode(text.data(), static_cast<ev_ssize_t>(text.size()), 0),
      &std::free);
  return escaped.get();
}

std::optional<http_response> ParseOutcome(const std::string& body) {
  const nlohmann::json document = ParseBoundedJson(body);
  if (!document.is_object() || !document.contains("status") ||
      !document.at("status").is_number_integer()) {
    return std::nullopt;
  }
  http_response response;
  response.status = document.at("status").get<int>();
  const auto found = document.find("body");
  if (found != document.end()) {
    response.body =
        found->is_string() ? found->get<std::string>() : found->dump();
  }
  return response;
}

}  // namespace

outcome_poller::outcome_poller(event_loop& loop, http_client& client,
                               endpoint service,
                               const std::string& idempotency_key,
                               time_point until, clock_fn clock, done_fn done)
    : loop_(loop),
      client_(client),
      service_(std::move(service)),
      target_("/outcomes/" + EscapePath(idempotency_key)),
      until_(until),
      clock_(std::move(clock)),
      done_(std::move(done)) {}

void outcome_poller::Start() {
  http_request request;
  request.target = target_;
  http_call_options options;
  options.progress_timeout = kPollTimeout;
  // The outcome may be unknown because the pooled connections are broken.
  options.reuse_connection = false;
  call_ = client_.Send(
      service_, request, options,
      {{}, {}, [this](const http_result& result) { OnResponse(result); }});
}

void outcome_poller::OnResponse(const http_result& result) {
  const std::optional<http_response> outcome =
      result.Ok() ? ParseOutcome(result.response.body) : std::nullopt;
  if (outcome || clock_() + kPollPeriod >= until_) {
    const done_fn done = done_;
    done(outcome);
    return;
  }
  timer_ = loop_.After(kPollPeriod, [this] { Start(); });
}

}  // namespace skylarkcroft
