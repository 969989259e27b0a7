#include "skylarkcroft/placement/skylarkcroft_upstream_speeds.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace skylarkcroft {
namespace {

// Times below this are within the resolution of the event loop.
constexpr double kMinTimeMs = 0.5;
// A factor of about 1.3: smaller changes are not worth a log line.
constexpr double kNoticeableLog = 0.4;

double LogMs(duration time) {
  const double ms = std::chrono::duration<double, std::milli>(time).count();
  return std::log2(std::max(kMinTimeMs, ms));
}

bool Differs(double one, double other) {
  return std::abs(std::log2(one / other)) >= kNoticeableLog;
}

}  // namespace

void upstream_speeds::RecordFirstEvent(const engine& at, milliseconds waited,
                                       milliseconds expected, int running,
                                       time_point now) {
  services_[at.service].prefill.Record(
      at.key, {BatchLoad(running, at.slots), LogMs(waited) - LogMs(expected)},
      now);
}

void upstream_speeds::RecordEvents(const engine& at, duration elapsed,
                                   size_t count, int running, time_point now) {
  if (count == 0) {
    return;
  }
  const duration each = elapsed / static_cast<duration::rep>(count);
  services_[at.service].tokens.Record(
      at.key, {BatchLoad(running, at.slots), LogMs(each)}, now);
}

void upstream_speeds::Forget(const std::string& service, uint32_t key) {
  const auto found = services_.find(service);
  if (found != services_.end()) {
    found->second.prefill.Forget(key);
    found->second.tokens.Forget(key);
  }
}

std::vector<speed_change> upstream_speeds::Update(
    const std::vector<engine>& engines, const peer_evidence& peers,
    time_point now) {
  updated_at_ = now;
  std::map<std::string, std::vector<uint32_t>> by_service;
  for (const engine& one : engines) {
    by_service[one.service].push_back(one.key);
  }
  std::erase_if(services_, [&](const auto& service) {
    return !by_service.contains(service.first);
  });
  for (const auto& [service, keys] : by_service) {
    service_state& state = services_[service];
    state.prefill.Update(
        keys, [&](uint32_t key) { return peers(key).prefill; }, now);
    state.tokens.Update(
        keys, [&](uint32_t key) { return peers(key).tokens; }, now);
  }
  std::vector<speed_change> changes;
  std::map<std::string, engine_slowness> told;
  for (const engine& one : engines) {
    const engine_slowness slowness = Slowness(one.service, one.key);
    engine_slowness& last = told[one.id];
    const auto before = told_.find(one.id);
    last = before == told_.end() ? engine_slowness{} : before->second;
    if (Differs(last.prefill, slowness.prefill) ||
        Differs(last.tokens, slowness.tokens)) {
      last = slowness;
      const service_state& state = services_.at(one.service);
      changes.push_back(
          {one.id,
           slowness,
           {state.prefill.Combined(one.key), state.tokens.Combined(one.key)}});
    }
  }
  told_ = std::move(told);
  return changes;
}

engine_slowness upstream_speeds::Slowness(const std::string& service,
                                          uint32_t key) const {
  const auto found = services_.find(service);
  if (found == services_.end()) {
    return {};
  }
  return {found->second.prefill.Slowness(key),
          found->second.tokens.Slowness(key)};
}

speed_evidence upstream_speeds::Own(const std::string& service,
                                    uint32_t key) const {
  const auto found = services_.find(service);
  if (found == services_.end()) {
    return {};
  }
  return {found->second.prefill.Own(key), found->second.tokens.Own(key)};
}

}  // namespace skylarkcroft
