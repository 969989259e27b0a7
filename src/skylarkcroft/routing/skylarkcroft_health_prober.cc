#include "skylarkcroft/routing/skylarkcroft_health_prober.h"

#include <memory>
#include <utility>

#include "skylarkcroft/routing/skylarkcroft_upstream_directory.h"

namespace skylarkcroft {
namespace {

constexpr milliseconds kProbeTimeout{1000};
constexpr int kFirstServerError = 500;

bool Passes(const http_result& result) {
  return result.outcome == http_outcome::kComplete &&
         result.response.status < kFirstServerError;
}

}  // namespace

health_prober::health_prober(event_loop& loop, http_client& client,
                             upstream_directory& directory, milliseconds period,
                             clock_fn clock)
    : loop_(loop),
      client_(client),
      directory_(directory),
      clock_(std::move(clock)),
      timer_(loop.Every(period, [this] { ProbeAll(); })) {}

void health_prober::ProbeAll() {
  const time_point now = clock_();
  directory_.UpdateUnavailablePools(now);
  for (const probe_target& target : directory_.ProbesDue(now)) {
    if (calls_.count(target.key) == 0) {
      Probe(target);
    }
  }
}

void health_prober::Probe(const probe_target& target) {
  client_.DropIdle(target.address);
  http_request request;
  request.target = "/health";
  http_call_options options;
  options.progress_timeout = kProbeTimeout;
  options.reuse_connection = false;
  http_call_events events;
  events.on_done = [this, key = target.key](const http_result& result) {
    OnResponse(key, result);
  };
  calls_[target.key] =
      client_.Send(target.address, request, options, std::move(events));
}

void health_prober::OnResponse(const upstream_key& key,
                               const http_result& result) {
  const auto found = calls_.find(key);
  // This callback runs inside the call object, which must not be destroyed
  // before the callback returns.
  loop_.Defer(
      [ended = std::shared_ptr<http_call>(std::move(found->second))] {});
  calls_.erase(found);
  directory_.RecordProbe(key, Passes(result), clock_());
}

}  // namespace skylarkcroft
