#include "skylarkcroft/routing/skylarkcroft_upstream_directory.h"

#include <algorithm>
#include <utility>

namespace skylarkcroft {
namespace {

constexpr int64_t kFailedResponsesToEject = 5;
constexpr int64_t kFailedConnectionsToProbe = 2;
// Ejects an upstream whose probes pass but whose requests still get no
// response.
constexpr int64_t kFailedConnectionsToEject = 6;
constexpr double kMaxEjectedShare = 0.5;
constexpr milliseconds kInitialEjectionDuration{5000};
constexpr milliseconds kMaxEjectionDuration{60000};
// An upstream that is ejected again within this time after its ejection ended
// is ejected for longer.
constexpr milliseconds kEjectionResetInterval{60000};

enum class attempt_evidence {
  kHealthy,
  kFailedResponse,
  kFailedConnection,
  kNone
};

attempt_evidence EvidenceOf(attempt_outcome outcome) {
  switch (outcome) {
    case attempt_outcome::kComplete:
    case attempt_outcome::kRejected:
      return attempt_evidence::kHealthy;
    case attempt_outcome::kFailed:
    case attempt_outcome::kMalformed:
      return attempt_evidence::kFailedResponse;
    case attempt_outcome::kConnectFailed:
    case attempt_outcome::kBroken:
    case attempt_outcome::kTimedOut:
      return attempt_evidence::kFailedConnection;
    case attempt_outcome::kRefused:
    case attempt_outcome::kCancelled:
      return attempt_evidence::kNone;
  }
  return attempt_evidence::kNone;
}

bool IsEjected(const upstream_state& state, time_point now) {
  return state.needs_probe ||
         (state.ejected_until && now < *state.ejected_until);
}

milliseconds EjectionDuration(int64_t ejections) {
  constexpr int64_t kMaxDoublings = 10;
  const int64_t doublings = std::min(ejections - 1, kMaxDoublings);
  return std::min(kInitialEjectionDuration * (int64_t{1} << doublings),
                  kMaxEjectionDuration);
}

upstream_state CarryOverState(const std::vector<upstream_state>& old,
                              const upstream& spec, time_point now) {
  for (const upstream_state& state : old) {
    if (state.spec.name != spec.name || state.spec.address != spec.address) {
      continue;
    }
    upstream_state kept = state;
    kept.spec = spec;
    return kept;
  }
  upstream_state added;
  added.spec = spec;
  added.active_since = now;
  return added;
}

}  // namespace

std::string_view ToString(upstream_event event) {
  switch (event) {
    case upstream_event::kEjected:
      return "ejected";
    case upstream_event::kEjectionWithheld:
      return "ejection_withheld";
    case upstream_event::kProbePassed:
      return "probe_passed";
    case upstream_event::kProbeFailed:
      return "probe_failed";
    case upstream_event::kReinstated:
      return "taken_back";
  }
  return "unknown";
}

bool AwaitsFirstReport(const upstream_state& state, time_point now) {
  return !state.report && now - state.active_since < kFirstReportTimeout;
}

bool IsPaused(const upstream_state& state, time_point now) {
  return state.paused_until.has_value() && now < *state.paused_until;
}

bool AcceptsRequests(const upstream_state& state, time_point now) {
  return !state.is_draining && !IsEjected(state, now) && !IsPaused(state, now);
}

void upstream_directory::SetPools(const pools_table& pools, time_point now) {
  std::map<std::string, std::vector<upstream_state>> next;
  kinds_.clear();
  for (const pool& configured : pools.pools()) {
    kinds_[configured.name] = configured.kind;
    const std::vector<upstream_state>& old = UpstreamsInPool(configured.name);
    std::vector<upstream_state>& members = next[configured.name];
    for (const upstream& spec : configured.upstreams) {
      members.push_back(CarryOverState(old, spec, now));
    }
  }
  pools_ = std::move(next);
}

const std::vector<upstream_state>& upstream_directory::UpstreamsInPool(
    const std::string& pool_name) const {
  static const std::vector<upstream_state> kNone;
  const auto found = pools_.find(pool_name);
  return found == pools_.end() ? kNone : found->second;
}

std::vector<std::string> upstream_directory::PoolNames() const {
  std::vector<std::string> names;
  for (const auto& [name, members] : pools_) {
    names.push_back(name);
  }
  return names;
}

pool_kind upstream_directory::KindOf(const std::string& pool_name) const {
  const auto found = kinds_.find(pool_name);
  return found == kinds_.end() ? pool_kind::kService : found->second;
}

upstream_state* upstream_directory::Find(const std::string& pool_name,
                                         const std::string& upstream_name) {
  const auto found = pools_.find(pool_name);
  if (found == pools_.end()) {
    return nullptr;
  }
  for (upstream_state& state : found->second) {
    if (state.spec.name == upstream_name) {
      return &state;
    }
  }
  return nullptr;
}

void upstream_directory::RecordSent(const std::string& pool_name,
                                    const std::string& upstream_name,
                                    time_point /*now*/) {
  upstream_state* state = Find(pool_name, upstream_name);
  if (state == nullptr) {
    return;
  }
  ++state->in_flight;
  ++state->sent_since_report;
}

void upstream_directory::RecordOutcome(const std::string& pool_name,
                                       const std::string& upstream_name,
                                       attempt_outcome outcome,
                                       time_point now) {
  upstream_state* state = Find(pool_name, upstream_name);
  if (state == nullptr) {
    return;
  }
  state->in_flight = std::max<int64_t>(0, state->in_flight - 1);
  switch (EvidenceOf(outcome)) {
    case attempt_evidence::kHealthy:
      state->failed_responses = 0;
      state->failed_connections = 0;
      state->suspect = false;
      return;
    case attempt_evidence::kFailedResponse:
      ++state->failed_responses;
      break;
    case attempt_evidence::kFailedConnection:
      ++state->failed_connections;
      state->suspect = state->suspect ||
                       state->failed_connections == kFailedConnectionsToProbe;
      break;
    case attempt_evidence::kNone:
      if (outcome == attempt_outcome::kRefused) {
        state->refused_at = now;
      }
      return;
  }
  if (state->failed_responses >= kFailedResponsesToEject ||
      state->failed_connections >= kFailedConnectionsToEject) {
    Eject(pool_name, *state, now);
  }
}

bool upstream_directory::CanEject(const std::string& pool_name) const {
  int64_t ejected = 0;
  int64_t members = 0;
  for (const upstream_state& state : UpstreamsInPool(pool_name)) {
    if (state.is_draining) {
      continue;
    }
    ++members;
    ejected += state.needs_probe ? 1 : 0;
  }
  return static_cast<double>(ejected + 1) <=
         kMaxEjectedShare * static_cast<double>(members);
}

void upstream_directory::Eject(const std::string& pool_name,
                               upstream_state& state, time_point now) {
  if (state.needs_probe || state.is_draining) {
    return;
  }
  state.failed_responses = 0;
  state.failed_connections = 0;
  state.suspect = false;
  if (!CanEject(pool_name)) {
    NotifyEvent(upstream_event::kEjectionWithheld);
    return;
  }
  if (state.ejected_until &&
      now - *state.ejected_until > kEjectionResetInterval) {
    state.ejections = 0;
  }
  ++state.ejections;
  state.ejected_until = now + EjectionDuration(state.ejections);
  state.needs_probe = true;
  NotifyEvent(upstream_event::kEjected);
}

std::vector<probe_target> upstream_directory::ProbesDue(time_point now) const {
  std::vector<probe_target> due;
  for (const auto& [pool_name, members] : pools_) {
    for (const upstream_state& state : members) {
      const bool ejection_expired =
          state.needs_probe && now >= *state.ejected_until;
      if (!state.is_draining && (state.suspect || ejection_expired)) {
        due.push_back({{pool_name, state.spec.name}, state.spec.address});
      }
    }
  }
  return due;
}

void upstream_directory::RecordProbe(const upstream_key& key, bool passed,
                                     time_point now) {
  upstream_state* state = Find(key.pool, key.upstream);
  if (state == nullptr) {
    return;
  }
  NotifyEvent(passed ? upstream_event::kProbePassed
                     : upstream_event::kProbeFailed);
  if (!state->needs_probe) {
    const bool should_eject = state->suspect && !passed;
    state->suspect = false;
    if (should_eject) {
      Eject(key.pool, *state, now);
    }
    return;
  }
  if (now < *state->ejected_until) {
    return;
  }
  if (passed) {
    state->needs_probe = false;
    // The upstream may have lost its caches, so its load grows slowly again.
    state->active_since = now;
    NotifyEvent(upstream_event::kReinstated);
    return;
  }
  ++state->ejections;
  state->ejected_until = now + EjectionDuration(state->ejections);
}

void upstream_directory::SetEventHandler(
    std::function<void(upstream_event)> handler) {
  on_event_ = std::move(handler);
}

void upstream_directory::NotifyEvent(upstream_event event) const {
  if (on_event_) {
    on_event_(event);
  }
}

void upstream_directory::UpdateUnavailablePools(time_point now) {
  std::erase_if(unavailable_since_, [this](const auto& entry) {
    return pools_.count(entry.first) == 0;
  });
  for (const auto& [name, members] : pools_) {
    const bool open = std::any_of(members.begin(), members.end(),
                                  [now](const upstream_state& state) {
                                    return AcceptsRequests(state, now);
                                  });
    if (open) {
      unavailable_since_.erase(name);
    } else {
      unavailable_since_.try_emplace(name, now);
    }
  }
}

bool upstream_directory::UnavailableFor(const std::string& pool_name,
                                        duration limit, time_point now) const {
  const auto found = unavailable_since_.find(pool_name);
  return found != unavailable_since_.end() && now - found->second >= limit;
}

void upstream_directory::RecordLoad(const std::string& pool_name,
                                    const std::string& upstream_name,
                                    const load_report& report, time_point now) {
  upstream_state* state = Find(pool_name, upstream_name);
  if (state == nullptr) {
    return;
  }
  state->report = report;
  state->reported_at = now;
  state->sent_since_report = 0;
  state->is_draining = state->is_draining || report.is_draining;
}

void upstream_directory::OnReclaimNotice(const endpoint& address) {
  for (auto& [name, members] : pools_) {
    for (upstream_state& state : members) {
      if (state.spec.address == address) {
        state.is_draining = true;
      }
    }
  }
}

bool upstream_directory::OnAnnouncement(const endpoint& address,
                                        const announcement& told,
                                        time_point now) {
  bool is_new = false;
  for (auto& [name, members] : pools_) {
    for (upstream_state& state : members) {
      if (state.spec.address != address) {
        continue;
      }
      is_new = is_new || told.pause.has_value() ||
               (told.is_leaving && !state.is_draining);
      state.is_draining = state.is_draining || told.is_leaving;
      if (told.pause.has_value()) {
        const time_point end = now + *told.pause;
        state.paused_until = std::max(state.paused_until.value_or(end), end);
      }
    }
  }
  return is_new;
}

bool upstream_directory::AllReported(time_point now) const {
  for (const auto& [name, members] : pools_) {
    for (const upstream_state& state : members) {
      if (AwaitsFirstReport(state, now)) {
        return false;
      }
    }
  }
  return true;
}

int64_t upstream_directory::AvailableSlots(const std::string& pool_name,
                                           time_point now) const {
  int64_t slots = 0;
  for (const upstream_state& state : UpstreamsInPool(pool_name)) {
    if (AcceptsRequests(state, now)) {
      slots += state.spec.slots;
    }
  }
  return slots;
}

int64_t upstream_directory::AdmissionCapacity(const std::string& pool_name,
                                              time_point now) const {
  if (!UnavailableFor(pool_name, kUnavailableTimeout, now)) {
    return AvailableSlots(pool_name, now);
  }
  int64_t slots = 0;
  for (const upstream_state& state : UpstreamsInPool(pool_name)) {
    slots += state.spec.slots;
  }
  return std::max<int64_t>(1, slots);
}

}  // namespace skylarkcroft
