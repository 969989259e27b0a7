#include "skylarkcroft/routing/skylarkcroft_upstream_directory.h"

#include <algorithm>
#include <utility>

namespace skylarkcroft {
namespace {

constexpr int64_t kFailuresBeforeEjection = 3;
constexpr milliseconds kEjectionTime{5000};

bool CountsAsFailure(attempt_outcome outcome) {
  switch (outcome) {
    case attempt_outcome::kFailed:
    case attempt_outcome::kConnectFailed:
    case attempt_outcome::kBroken:
    case attempt_outcome::kTimedOut:
    case attempt_outcome::kMalformed:
      return true;
    default:
      return false;
  }
}

upstream_state Carry(const std::vector<upstream_state>& old,
                     const upstream& spec, time_point now) {
  for (const upstream_state& state : old) {
    if (state.spec.name != spec.name || state.spec.address != spec.address) {
      continue;
    }
    upstream_state kept = state;
    kept.spec = spec;
    return kept;
  }
  upstream_state fresh;
  fresh.spec = spec;
  fresh.known_since = now;
  return fresh;
}

}  // namespace

bool TakesRequests(const upstream_state& state, time_point now) {
  const bool ejected = state.ejected_until && now < *state.ejected_until;
  return !state.leaving && !ejected;
}

void upstream_directory::SetPools(const pools_table& pools, time_point now) {
  std::map<std::string, std::vector<upstream_state>> next;
  kinds_.clear();
  for (const pool& one : pools.pools()) {
    kinds_[one.name] = one.kind;
    const std::vector<upstream_state>& old = InPool(one.name);
    std::vector<upstream_state>& members = next[one.name];
    for (const upstream& spec : one.upstreams) {
      members.push_back(Carry(old, spec, now));
    }
  }
  pools_ = std::move(next);
}

const std::vector<upstream_state>& upstream_directory::InPool(
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

void upstream_directory::NoteSent(const std::string& pool_name,
                                  const std::string& upstream_name,
                                  time_point /*now*/) {
  upstream_state* state = Find(pool_name, upstream_name);
  if (state == nullptr) {
    return;
  }
  ++state->in_flight;
  ++state->sent_since_report;
}

void upstream_directory::NoteEnded(const std::string& pool_name,
                                   const std::string& upstream_name,
                                   attempt_outcome outcome, time_point now) {
  upstream_state* state = Find(pool_name, upstream_name);
  if (state == nullptr) {
    return;
  }
  state->in_flight = std::max<int64_t>(0, state->in_flight - 1);
  if (!CountsAsFailure(outcome)) {
    state->consecutive_failures = 0;
    return;
  }
  ++state->consecutive_failures;
  if (state->consecutive_failures >= kFailuresBeforeEjection) {
    state->ejected_until = now + kEjectionTime;
    state->consecutive_failures = 0;
  }
}

void upstream_directory::NoteLoad(const std::string& pool_name,
                                  const std::string& upstream_name,
                                  const load_report& report, time_point now) {
  upstream_state* state = Find(pool_name, upstream_name);
  if (state == nullptr) {
    return;
  }
  state->report = report;
  state->reported_at = now;
  state->sent_since_report = 0;
  state->leaving = state->leaving || report.leaving;
}

void upstream_directory::NoteLeaving(const endpoint& address) {
  for (auto& [name, members] : pools_) {
    for (upstream_state& state : members) {
      if (state.spec.address == address) {
        state.leaving = true;
      }
    }
  }
}

int64_t upstream_directory::OpenSlots(const std::string& pool_name,
                                      time_point now) const {
  int64_t slots = 0;
  for (const upstream_state& state : InPool(pool_name)) {
    if (TakesRequests(state, now)) {
      slots += state.spec.slots;
    }
  }
  return slots;
}

}  // namespace skylarkcroft
