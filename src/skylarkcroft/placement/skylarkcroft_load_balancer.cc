#include "skylarkcroft/placement/skylarkcroft_load_balancer.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace skylarkcroft {
namespace {

constexpr size_t kMaxPartsPerUpstream = 2000;
// Engines evict the least recently used parts from their cache, so a part used
// longer ago than this is no longer expected there.
constexpr milliseconds kMaxPartAge{20000};
// Penalty for an upstream in another availability zone, in requests in flight
// per batch slot.
constexpr double kOtherZonePenalty = 0.1;
constexpr double kAvoidedPenalty = 1e6;
constexpr double kAlreadyTriedPenalty = 1e7;
constexpr double kFullPenalty = 1e5;
// For an upstream whose limit after its start is reached: more than any cost of
// those that are not, less than that of a full one, so that a service whose
// other upstreams are full or just as new is not left idle.
constexpr double kPacedPenalty = 5e4;
// Cost of an upstream of a plain service with as many requests in flight as
// slots, in the scale of milliseconds.
constexpr double kPlainRequestMs = 100;

uint64_t RendezvousWeight(const std::string& key, const std::string& id) {
  return XXH3_64bits_withSeed(id.data(), id.size(),
                              XXH3_64bits(key.data(), key.size()));
}

}  // namespace

load_balancer::load_balancer(const load_balancer_parameters& parameters)
    : parameters_(parameters),
      paces_(parameters.pace),
      peers_(parameters.peer_report_max_age),
      store_returns_(parameters.removal_grace) {}

void load_balancer::Reset(const std::vector<upstream_entry>& entries,
                          time_point now) {
  std::vector<std::string> missing;
  for (const auto& [id, upstream] : upstreams_) {
    const bool listed =
        std::any_of(entries.begin(), entries.end(),
                    [&id = id](const upstream_entry& e) { return e.id == id; });
    if (!listed) {
      missing.push_back(id);
    }
  }
  for (const std::string& id : missing) {
    Remove(id, now);
  }
  for (const upstream_entry& entry : entries) {
    Put(entry, now);
  }
  listed_ = listed_ || !entries.empty();
}

void load_balancer::Put(const upstream_entry& entry, time_point now) {
  const auto found = upstreams_.find(entry.id);
  const bool same_process =
      found != upstreams_.end() &&
      found->second.entry.incarnation == entry.incarnation &&
      found->second.entry.address == entry.address;
  if (!same_process) {
    speeds_.Forget(entry.service, UpstreamKey(entry.id));
    upstream_state fresh;
    fresh.silent_since = now;
    if (found != upstreams_.end()) {
      // In-flight requests of the previous process are still reported as ended.
      fresh.own = found->second.own;
    }
    upstreams_.insert_or_assign(entry.id, std::move(fresh));
    if (listed_) {
      StartPace(entry, now, false);
    }
  }
  upstream_state& upstream = upstreams_.at(entry.id);
  upstream.entry = entry;
  upstream.key = UpstreamKey(entry.id);
  upstream.removed_at.reset();
  if (!entry.is_draining) {
    upstream.serves_until.reset();
  }
}

void load_balancer::AllowWhileDraining(const std::string& id,
                                       time_point serves_until) {
  const auto found = upstreams_.find(id);
  if (found != upstreams_.end()) {
    found->second.serves_until = serves_until;
  }
}

bool load_balancer::MayRegisterAgain(const upstream_state& upstream,
                                     time_point now) const {
  return store_returns_.MayHaveLapsed(now) && !upstream.entry.is_draining;
}

void load_balancer::Remove(const std::string& id, time_point now) {
  const auto found = upstreams_.find(id);
  if (found == upstreams_.end()) {
    return;
  }
  if (!MayRegisterAgain(found->second, now)) {
    upstreams_.erase(found);
    return;
  }
  if (!found->second.removed_at.has_value()) {
    found->second.removed_at = now;
  }
}

void load_balancer::RemoveUnannounced(const std::string& id,
                                      time_point serves_until, time_point now) {
  const auto found = upstreams_.find(id);
  const bool drains =
      found != upstreams_.end() && !MayRegisterAgain(found->second, now) &&
      TimeSinceAnyByte(id, now) <= parameters_.max_silence_after_removal;
  if (!drains) {
    Remove(id, now);
    return;
  }
  found->second.entry.is_draining = true;
  found->second.serves_until = serves_until;
  found->second.removed_at = now;
}

std::vector<std::string> load_balancer::DropRemoved(time_point now) {
  std::vector<std::string> dropped;
  for (const auto& [id, upstream] : upstreams_) {
    if (upstream.removed_at.has_value() &&
        now >= store_returns_.GraceEnd(*upstream.removed_at,
                                       upstream.entry.is_draining)) {
      dropped.push_back(id);
    }
  }
  for (const std::string& id : dropped) {
    upstreams_.erase(id);
  }
  return dropped;
}

const upstream_entry* load_balancer::Find(const std::string& id) const {
  const auto found = upstreams_.find(id);
  return found == upstreams_.end() ? nullptr : &found->second.entry;
}

bool load_balancer::IsLeaving(const std::string& id) const {
  const auto found = upstreams_.find(id);
  return found == upstreams_.end() || !IsUsable(found->second);
}

bool load_balancer::IsUsable(const upstream_state& upstream) const {
  return !upstream.entry.is_draining &&
         !announcements_.ServesUntil(upstream.entry).has_value();
}

std::optional<time_point> load_balancer::ServesUntil(
    const upstream_state& upstream) const {
  const std::optional<time_point> announced =
      announcements_.ServesUntil(upstream.entry);
  if (!upstream.entry.is_draining) {
    return announced;
  }
  if (!upstream.serves_until.has_value()) {
    return std::nullopt;
  }
  return std::min(*upstream.serves_until,
                  announced.value_or(*upstream.serves_until));
}

bool load_balancer::RecordLeaving(const upstream_entry& upstream,
                                  time_point serves_until, time_point now) {
  return announcements_.RecordLeaving(upstream, serves_until, now);
}

void load_balancer::RecordExit(const upstream_entry& upstream,
                               time_point exits_at, time_point now) {
  announcements_.RecordExit(upstream, exits_at, now);
}

std::optional<time_point> load_balancer::ExitsAt(
    const upstream_entry& upstream) const {
  return announcements_.ExitsAt(upstream);
}

void load_balancer::RecordPause(const upstream_entry& upstream,
                                time_point until, time_point now) {
  announcements_.RecordPause(upstream, until, now);
  StartPace(upstream, until, true);
}

std::optional<time_point> load_balancer::FirstPauseEnd(
    const std::string& service, time_point now) const {
  std::optional<time_point> first;
  for (const auto& [id, upstream] : upstreams_) {
    if (upstream.entry.service != service || !IsUsable(upstream)) {
      continue;
    }
    const std::optional<time_point> end =
        announcements_.PausedUntil(upstream.entry, now);
    if (end.has_value()) {
      first = std::min(first.value_or(*end), *end);
    }
  }
  return first;
}

bool load_balancer::CanFinishBeforeExit(const upstream_state& upstream,
                                        const placement_request& request,
                                        const placement& estimate,
                                        time_point now) const {
  const std::optional<time_point> serves_until = ServesUntil(upstream);
  if (!serves_until.has_value()) {
    return false;
  }
  const milliseconds expected =
      request.cache_tokens == 0
          ? parameters_.max_plain_request_time
          : estimate.expected_first +
                milliseconds(static_cast<milliseconds::rep>(
                    parameters_.max_token_latency_ms *
                    static_cast<double>(request.shape.max_output_tokens)));
  return now + expected <= *serves_until;
}

size_t load_balancer::UsableCount(const std::string& service) const {
  return static_cast<size_t>(
      std::count_if(upstreams_.begin(), upstreams_.end(), [&](const auto& e) {
        return e.second.entry.service == service && IsUsable(e.second);
      }));
}

std::vector<upstream_entry> load_balancer::Entries() const {
  std::vector<upstream_entry> entries;
  entries.reserve(upstreams_.size());
  for (const auto& [id, upstream] : upstreams_) {
    entries.push_back(upstream.entry);
  }
  return entries;
}

load_balancer::total_load load_balancer::TotalLoad(
    const upstream_state& upstream, time_point now) const {
  peers_.DropExpired(now);
  const upstream_report from_peers = peers_.SumFor(upstream.key);
  total_load total{upstream.own, upstream.health.Outcomes(now)};
  AddLoad(from_peers.load, total.load);
  total.outcomes.successes += from_peers.outcomes.successes;
  total.outcomes.failures += from_peers.outcomes.failures;
  return total;
}

load_balancer::service_summary load_balancer::SummarizeService(
    const placement_request& request, time_point now) const {
  service_summary summary;
  std::vector<double> shares;
  size_t reclaimable = 0;
  for (const auto& [id, upstream] : upstreams_) {
    if (!request.MayUse(upstream.entry) || !IsUsable(upstream)) {
      continue;
    }
    ++summary.usable;
    reclaimable += upstream.entry.reclaimable ? 1 : 0;
    shares.push_back(FailureShare(TotalLoad(upstream, now).outcomes));
  }
  if (!shares.empty()) {
    // The median, so that a few failing upstreams do not raise the share.
    const auto middle =
        shares.begin() + static_cast<std::ptrdiff_t>((shares.size() - 1) / 2);
    std::nth_element(shares.begin(), middle, shares.end());
    summary.failure_share = *middle;
  }
  summary.avoid_on_demand = 2 * reclaimable >= summary.usable;
  const std::string key = request.shape.AffinityKey();
  if (key.empty()) {
    return summary;
  }
  uint64_t best = 0;
  for (const auto& [id, upstream] : upstreams_) {
    const bool eligible = request.MayUse(upstream.entry) && IsUsable(upstream);
    if (!eligible || (summary.avoid_on_demand && !upstream.entry.reclaimable)) {
      continue;
    }
    const uint64_t weight = RendezvousWeight(key, id);
    if (summary.preferred == nullptr || weight > best) {
      summary.preferred = &upstream;
      best = weight;
    }
  }
  return summary;
}

placement load_balancer::Estimate(const upstream_state& upstream,
                                  const total_load& total,
                                  const placement_request& request,
                                  bool preferred) const {
  placement estimate;
  estimate.upstream = upstream.entry;
  estimate.running = total.load.running;
  estimate.prefill_tokens = PrefillTokensAhead(total.load, request.urgency);
  estimate.parts_cached =
      preferred || upstream.parts.contains(request.shape.AffinityKey());
  estimate.work.urgency = request.urgency;
  estimate.work.kv_cache_tokens = request.shape.TotalTokens();
  estimate.work.prefill_tokens =
      request.shape.prompt_tokens -
      (estimate.parts_cached ? request.shape.SharedTokens() : 0);
  estimate.work.prefill_tokens =
      std::max<int64_t>(estimate.work.prefill_tokens, 0);
  const int64_t unprocessed =
      estimate.prefill_tokens + estimate.work.prefill_tokens;
  const engine_costs costs(parameters_, SlownessOf(upstream));
  if (request.cache_tokens > 0) {
    estimate.expected_first = costs.FirstToken(unprocessed);
    estimate.expected_first_at_median =
        engine_costs(parameters_, {}).FirstToken(unprocessed);
  }
  const double planned_tokens = static_cast<double>(
      total.load.kv_cache_tokens + estimate.work.kv_cache_tokens);
  const bool memory_full =
      request.cache_tokens > 0 &&
      planned_tokens > parameters_.max_kv_cache_share *
                           static_cast<double>(request.cache_tokens);
  estimate.full =
      total.load.running >= costs.UsableSlots(upstream.entry.slots) ||
      memory_full;
  return estimate;
}

placement_option load_balancer::CostOf(const upstream_state& upstream,
                                       const total_load& total,
                                       const placement& estimate,
                                       const placement_request& request,
                                       const service_summary& summary,
                                       time_point now) const {
  const double excess_failures = FailureShare(total.outcomes) -
                                 summary.failure_share -
                                 parameters_.failure_tolerance;
  placement_option option{
      parameters_.failure_penalty_ms * std::max(0.0, excess_failures), 0};
  if (summary.avoid_on_demand && !upstream.entry.reclaimable) {
    option.cost += parameters_.on_demand_penalty_ms;
  }
  if (!IsUsable(upstream)) {
    option.cost += parameters_.draining_penalty_ms;
  }
  if (upstream.health.IsAvoided(now)) {
    option.cost += kAvoidedPenalty;
  }
  if (std::find(request.tried.begin(), request.tried.end(),
                upstream.entry.id) != request.tried.end()) {
    option.cost += kAlreadyTriedPenalty;
  }
  if (request.cache_tokens == 0) {
    const double requests_per_slot = static_cast<double>(total.load.running) /
                                     std::max(upstream.entry.slots, 1);
    const bool other_zone =
        upstream.entry.availability_zone != request.availability_zone;
    option.cost += kPlainRequestMs *
                   (requests_per_slot + (other_zone ? kOtherZonePenalty : 0));
    return option;
  }
  const engine_slowness slowness = SlownessOf(upstream);
  const engine_costs costs(parameters_, slowness);
  option.slowness = slowness.tokens;
  const int64_t less_urgent =
      PrefillTokensAhead(total.load, kUrgencyLevels - 1) -
      estimate.prefill_tokens;
  const double stall =
      costs.Stall(request.shape.prompt_tokens, estimate.running);
  option.cost +=
      costs.PrefillMs(estimate.prefill_tokens) +
      parameters_.less_urgent_prefill_weight * costs.PrefillMs(less_urgent) +
      costs.Running(upstream.entry.slots) * estimate.running + stall +
      (estimate.full ? kFullPenalty : 0);
  const std::optional<double> limit = paces_.Limit(upstream.key);
  if (limit.has_value()) {
    // Caches are cold, and nodes that follow savings do not draw.
    const double left = *limit - estimate.running;
    option.cost += left < 1 ? kPacedPenalty : 0;
    option.room =
        std::max(left, 0.0) * (costs.Running(upstream.entry.slots) +
                               costs.PrefillMs(request.shape.prompt_tokens));
    return option;
  }
  if (estimate.parts_cached) {
    option.saving = parameters_.repeated_prefill_weight *
                        costs.PrefillMs(request.shape.SharedTokens()) +
                    stall -
                    costs.Stall(estimate.work.prefill_tokens, estimate.running);
  }
  return option;
}

double load_balancer::UnreportedCost(const placement_request& request,
                                     const std::vector<placement>& options,
                                     time_point now) const {
  if (peers_.size() == 0) {
    return 0;
  }
  const auto found = service_times_.find(request.service);
  const service_time_stats times =
      found == service_times_.end() ? service_time_stats{} : found->second;
  int running = 0;
  for (const placement& option : options) {
    running += option.running;
  }
  const milliseconds age =
      std::max(parameters_.min_peer_report_age, peers_.MeanAge(now));
  // By Little's law, the share of the in-flight requests that arrived within
  // the age of the reports. At most 1: shorter requests have already ended
  // again.
  const double unreported_share = std::min(
      1.0, static_cast<double>(age.count()) /
               static_cast<double>(times.MeanServiceTime(now).count()));
  const int slots = std::max(options.front().upstream.slots, 1);
  if (request.cache_tokens == 0) {
    return unreported_share * running * kPlainRequestMs / slots;
  }
  const double prefill_ms =
      times.MeanPrefillTokens(static_cast<double>(request.shape.prompt_tokens),
                              now) /
      parameters_.prefill_tokens_per_ms;
  return unreported_share * running *
         (engine_costs(parameters_, {}).Running(slots) + prefill_ms);
}

std::optional<placement> load_balancer::Choose(const placement_request& request,
                                               time_point now) const {
  const service_summary summary = SummarizeService(request, now);
  std::vector<placement> estimates;
  estimates.reserve(summary.usable);
  std::vector<placement_option> options;
  options.reserve(summary.usable);
  for (const auto& [id, upstream] : upstreams_) {
    const bool may_serve =
        request.MayUse(upstream.entry) &&
        (IsUsable(upstream) || ServesUntil(upstream).has_value()) &&
        !announcements_.PausedUntil(upstream.entry, now).has_value();
    if (!may_serve) {
      continue;
    }
    const total_load total = TotalLoad(upstream, now);
    const placement estimate =
        Estimate(upstream, total, request, &upstream == summary.preferred);
    if (!IsUsable(upstream) &&
        !CanFinishBeforeExit(upstream, request, estimate, now)) {
      continue;
    }
    estimates.push_back(estimate);
    options.push_back(CostOf(upstream, total, estimate, request, summary, now));
  }
  if (options.empty()) {
    return std::nullopt;
  }
  const size_t chosen = ChooseByWaterFilling(
      options, UnreportedCost(request, estimates, now), request.draw);
  placement best = estimates[chosen];
  best.candidates = options.size();
  best.peer_age = peers_.MaxAge(now);
  return best;
}

void load_balancer::RecordRequestSent(const std::string& id,
                                      const request_work& work,
                                      const generation_shape& shape,
                                      time_point now) {
  const auto found = upstreams_.find(id);
  if (found == upstreams_.end()) {
    return;
  }
  upstream_state& upstream = found->second;
  if (upstream.own.running == 0) {
    upstream.silent_since = now;
  }
  service_times_[upstream.entry.service].RecordSent(work.prefill_tokens, now);
  ++upstream.own.running;
  upstream.own.kv_cache_tokens += work.kv_cache_tokens;
  upstream.own.prefill_tokens[static_cast<size_t>(work.urgency)] +=
      work.prefill_tokens;
  const std::string key = shape.AffinityKey();
  if (key.empty()) {
    return;
  }
  if (upstream.parts.size() >= kMaxPartsPerUpstream) {
    std::erase_if(upstream.parts, [now](const auto& part) {
      return now - part.second > kMaxPartAge;
    });
  }
  upstream.parts[key] = now;
}

void load_balancer::RecordResponseStart(const std::string& id,
                                        const request_work& work,
                                        time_point now) {
  const auto found = upstreams_.find(id);
  if (found == upstreams_.end()) {
    return;
  }
  int64_t& unprocessed =
      found->second.own.prefill_tokens[static_cast<size_t>(work.urgency)];
  unprocessed = std::max<int64_t>(0, unprocessed - work.prefill_tokens);
  found->second.silent_since = now;
}

void load_balancer::RecordRequestEnded(const std::string& id,
                                       const request_work& work, bool begun,
                                       upstream_outcome outcome,
                                       time_point now) {
  const auto found = upstreams_.find(id);
  if (found == upstreams_.end()) {
    return;
  }
  upstream_state& upstream = found->second;
  if (!begun) {
    const time_point silent_since = upstream.silent_since;
    RecordResponseStart(id, work, now);
    upstream.silent_since = silent_since;
  }
  service_times_[upstream.entry.service].RecordEnded(now);
  upstream.own.running = std::max(0, upstream.own.running - 1);
  upstream.own.kv_cache_tokens =
      std::max<int64_t>(0, upstream.own.kv_cache_tokens - work.kv_cache_tokens);
  upstream.health.Record(outcome, now);
  if (outcome != upstream_outcome::kSuccess &&
      outcome != upstream_outcome::kInconclusive) {
    paces_.RecordRejection(upstream.key, now);
    StartPaceIfFailing(upstream, now);
  }
}

void load_balancer::RecordSilence(const std::string& id, time_point now) {
  const auto found = upstreams_.find(id);
  if (found != upstreams_.end()) {
    found->second.health.Record(upstream_outcome::kSilent, now);
    paces_.RecordRejection(found->second.key, now);
    StartPaceIfFailing(found->second, now);
  }
}

void load_balancer::RecordByte(const std::string& id, time_point now) {
  const auto found = upstreams_.find(id);
  if (found != upstreams_.end()) {
    found->second.silent_since = now;
    found->second.last_byte_at = now;
  }
}

bool load_balancer::HasByteSince(const std::string& id,
                                 time_point since) const {
  const auto found = upstreams_.find(id);
  return found != upstreams_.end() && found->second.last_byte_at.has_value() &&
         *found->second.last_byte_at > since;
}

milliseconds load_balancer::TimeSinceOwnByte(const std::string& id,
                                             time_point now) const {
  const auto found = upstreams_.find(id);
  if (found == upstreams_.end()) {
    return milliseconds::max();
  }
  return std::chrono::duration_cast<milliseconds>(now -
                                                  found->second.silent_since);
}

milliseconds load_balancer::TimeSinceAnyByte(const std::string& id,
                                             time_point now) const {
  const milliseconds own = TimeSinceOwnByte(id, now);
  const std::optional<time_point> last_to_peers =
      peers_.LastByteTime(UpstreamKey(id));
  if (!last_to_peers.has_value()) {
    return own;
  }
  return std::min(
      own, std::chrono::duration_cast<milliseconds>(now - *last_to_peers));
}

void load_balancer::SetPeerReport(const report_part_id& part,
                                  const std::vector<upstream_report>& reports,
                                  time_point now) {
  peers_.Set(part, reports, now);
}

milliseconds load_balancer::TimeSinceByte(const upstream_state& upstream,
                                          time_point now) {
  if (!upstream.last_byte_at.has_value()) {
    return kMaxTimeSinceByte;
  }
  return std::min(kMaxTimeSinceByte, std::chrono::duration_cast<milliseconds>(
                                         now - *upstream.last_byte_at));
}

std::vector<upstream_report> load_balancer::OwnUpstreamReports(
    time_point now) const {
  // What one outcome counts after one half-life: older successes say
  // little and would take up space in every report. Failures are reported for
  // longer.
  constexpr double kMinSuccesses = 0.5;
  constexpr double kMinFailures = 0.1;
  std::vector<upstream_report> reports;
  for (const auto& [id, upstream] : upstreams_) {
    const decayed_outcomes outcomes = upstream.health.Outcomes(now);
    const bool worth_reporting = upstream.own.running > 0 ||
                                 outcomes.failures >= kMinFailures ||
                                 outcomes.successes >= kMinSuccesses;
    if (worth_reporting) {
      reports.push_back({upstream.key, upstream.own, outcomes,
                         TimeSinceByte(upstream, now),
                         speeds_.Own(upstream.entry.service, upstream.key),
                         paces_.OwnCredit(upstream.key)});
    }
  }
  return reports;
}

int load_balancer::Running(const std::string& service, time_point now) const {
  int running = 0;
  for (const auto& [id, upstream] : upstreams_) {
    if (upstream.entry.service == service) {
      running += TotalLoad(upstream, now).load.running;
    }
  }
  return running;
}

int load_balancer::RunningAt(const std::string& id, time_point now) const {
  const auto found = upstreams_.find(id);
  return found == upstreams_.end() ? 0
                                   : TotalLoad(found->second, now).load.running;
}

service_room load_balancer::Room(const std::string& service,
                                 int64_t cache_tokens, time_point now) const {
  service_room room;
  for (const auto& [id, upstream] : upstreams_) {
    const bool takes_requests =
        upstream.entry.service == service && IsUsable(upstream) &&
        !upstream.health.IsAvoided(now) &&
        !announcements_.PausedUntil(upstream.entry, now).has_value();
    if (!takes_requests) {
      continue;
    }
    const upstream_load load = TotalLoad(upstream, now).load;
    room.running += load.running;
    room.slots += std::max(upstream.entry.slots, 1);
    room.cache_tokens += static_cast<double>(load.kv_cache_tokens);
    room.planned_tokens +=
        parameters_.max_kv_cache_share * static_cast<double>(cache_tokens);
  }
  const auto times = service_times_.find(service);
  room.mean_service_time =
      (times == service_times_.end() ? service_time_stats{} : times->second)
          .MeanServiceTime(now);
  return room;
}

}  // namespace skylarkcroft
