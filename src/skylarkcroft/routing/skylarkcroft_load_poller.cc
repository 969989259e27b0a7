#include "skylarkcroft/routing/skylarkcroft_load_poller.h"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "skylarkcroft/internal/skylarkcroft_bounded_json.h"

namespace skylarkcroft {

namespace {

/// Reads the number `name`, clamped to 0 through 2^53, the end of the range in
/// which a double holds every integer; 0 when it is missing. Throws
/// nlohmann::json::exception when it is not a number.
int64_t ParseCount(const nlohmann::json& document, const char* name) {
  constexpr double kMaxExactInteger = 9007199254740992.0;
  return static_cast<int64_t>(
      std::clamp(document.value(name, 0.0), 0.0, kMaxExactInteger));
}

}  // namespace

std::optional<load_report> ParseLoadReport(std::string_view body) {
  const nlohmann::json document = ParseBoundedJson(body);
  if (!document.is_object()) {
    return std::nullopt;
  }
  try {
    load_report report;
    report.running = ParseCount(document, "running");
    report.waiting = ParseCount(document, "waiting");
    report.slots = ParseCount(document, "slots");
    report.kv_used_tokens = ParseCount(document, "kv_used_tokens");
    report.kv_capacity_tokens = ParseCount(document, "kv_capacity_tokens");
    report.decode_tokens_per_s = document.value("decode_tokens_per_s", 0.0);
    report.prefill_tokens_per_s = document.value("prefill_tokens_per_s", 0.0);
    report.is_draining = document.value("leaving", false);
    return report;
  } catch (const nlohmann::json::exception&) {
    return std::nullopt;
  }
}

load_poller::load_poller(event_loop& loop, http_client& client,
                         upstream_directory& directory, milliseconds period,
                         clock_fn clock)
    : client_(client),
      directory_(directory),
      period_(period),
      clock_(std::move(clock)),
      loop_(loop),
      timer_(loop.Every(period, [this] { PollAll(); })) {}

void load_poller::PollAll() {
  for (const std::string& pool : directory_.PoolNames()) {
    for (const upstream_state& state : directory_.UpstreamsInPool(pool)) {
      const poll_key key{pool, state.spec.name};
      if (calls_.count(key) == 0) {
        Poll(key, state.spec.address);
      }
    }
  }
}

void load_poller::Poll(const poll_key& key, const endpoint& address) {
  http_request request;
  request.target = "/load";
  http_call_options options;
  options.progress_timeout = 4 * period_;
  http_call_events events;
  events.on_done = [this, key](const http_result& result) {
    OnReport(key, result);
  };
  calls_[key] = client_.Send(address, request, options, std::move(events));
}

void load_poller::OnReport(const poll_key& key, const http_result& result) {
  const auto found = calls_.find(key);
  // This callback runs inside the call object, which must not be destroyed
  // before the callback returns.
  loop_.Defer(
      [ended = std::shared_ptr<http_call>(std::move(found->second))] {});
  calls_.erase(found);
  const std::optional<load_report> report =
      result.Ok() ? ParseLoadReport(result.response.body) : std::nullopt;
  if (report) {
    directory_.RecordLoad(key.pool, key.upstream, *report, clock_());
  }
}

}  // namespace skylarkcroft
