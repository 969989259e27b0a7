// What the load balancer learns of its upstreams' speeds and limits.

#include "skylarkcroft/placement/skylarkcroft_load_balancer.h"

namespace skylarkcroft {
namespace {

// An upstream that fails this share of the requests of all nodes is limited
// when it returns.
constexpr double kFailingShare = 0.3;

}  // namespace

const load_balancer::upstream_state* load_balancer::FindProcess(
    const upstream_entry& entry) const {
  const auto found = upstreams_.find(entry.id);
  const bool same = found != upstreams_.end() &&
                    found->second.entry.incarnation == entry.incarnation;
  return same ? &found->second : nullptr;
}

void load_balancer::RecordFirstEvent(const placement& placed,
                                     milliseconds waited, time_point now) {
  const upstream_state* upstream = FindProcess(placed.upstream);
  // Plain services have no expected time.
  if (upstream == nullptr || placed.expected_first_at_median.count() == 0) {
    return;
  }
  paces_.RecordAnswer(upstream->key, waited, placed.expected_first, now);
  speeds_.RecordFirstEvent({placed.upstream.id, placed.upstream.service,
                            upstream->key, placed.upstream.slots},
                           waited, placed.expected_first_at_median,
                           placed.running, now);
}

void load_balancer::RecordEvents(const upstream_entry& upstream,
                                 duration elapsed, size_t count,
                                 time_point now) {
  const upstream_state* found = FindProcess(upstream);
  if (found == nullptr) {
    return;
  }
  const int running =
      found->own.running + peers_.SumFor(found->key).load.running;
  speeds_.RecordEvents(
      {upstream.id, upstream.service, found->key, upstream.slots}, elapsed,
      count, running, now);
}

std::vector<speed_change> load_balancer::UpdateSpeeds(time_point now) {
  if (!speeds_.IsUpdateDue(now)) {
    return {};
  }
  peers_.DropExpired(now);
  std::vector<upstream_speeds::engine> engines;
  engines.reserve(upstreams_.size());
  for (const auto& [id, upstream] : upstreams_) {
    engines.push_back(
        {id, upstream.entry.service, upstream.key, upstream.entry.slots});
  }
  return speeds_.Update(
      engines, [this](uint32_t key) { return peers_.SumFor(key).speed; }, now);
}

void load_balancer::StartPaceIfFailing(const upstream_state& upstream,
                                       time_point now) {
  const bool limited = paces_.Limit(upstream.key).has_value();
  if (!limited && upstream.health.IsAvoided(now) &&
      FailureShare(TotalLoad(upstream, now).outcomes) >= kFailingShare) {
    StartPace(upstream.entry, now, false);
  }
}

std::vector<pace_change> load_balancer::UpdatePaces(time_point now) {
  if (!paces_.IsUpdateDue(now)) {
    return {};
  }
  peers_.DropExpired(now);
  return paces_.Update(
      [this](uint32_t key) {
        const upstream_report sum = peers_.SumFor(key);
        return pace_of_peers{sum.pace_credit, sum.load.running};
      },
      now);
}

engine_slowness load_balancer::SlownessOf(const std::string& id) const {
  const auto found = upstreams_.find(id);
  return found == upstreams_.end() ? engine_slowness{}
                                   : SlownessOf(found->second);
}

}  // namespace skylarkcroft
