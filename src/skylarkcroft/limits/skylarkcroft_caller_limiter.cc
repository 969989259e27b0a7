#include "skylarkcroft/limits/skylarkcroft_caller_limiter.h"

#include <algorithm>
#include <cmath>

#include "skylarkcroft/tables/skylarkcroft_routes_table.h"

namespace skylarkcroft {
namespace {

/// Weight of the newest period in the smoothed demand.
constexpr double kDemandSmoothing = 0.5;
constexpr int kUpdatesUntilSettled = 3;
constexpr milliseconds kDefaultRetryAfter{1000};

limit_allocation AllocationOf(const allocations_by_caller& allocations,
                              const std::string& caller, limit_kind kind) {
  const auto found = allocations.find(caller);
  return found == allocations.end() ? limit_allocation{}
                                    : found->second[IndexOf(kind)];
}

}  // namespace

void caller_limiter::SetLimits(caller_state& state,
                               const caller_limits& limits) {
  SetLimit(state.limits[IndexOf(limit_kind::kRequests)], limits.requests_per_s);
  SetLimit(state.limits[IndexOf(limit_kind::kTokens)], limits.tokens_per_s);
  SetLimit(state.limits[IndexOf(limit_kind::kConcurrent)],
           static_cast<double>(limits.concurrent));
}

// All nodes apply an edited limit within seconds of each other, and each scales
// its allocation in proportion.
void caller_limiter::SetLimit(limit_state& limit, double new_limit) const {
  const bool added = limit.limit == 0 && new_limit > 0;
  if (added) {
    limit.own.allocated =
        settled() ? new_limit / static_cast<double>(node_count_) : 0;
  } else if (new_limit < limit.limit) {
    limit.own.allocated *= new_limit / limit.limit;
  }
  limit.limit = new_limit;
}

bool caller_limiter::ready() const { return callers_.empty() || settled(); }

bool caller_limiter::settled() const {
  return updates_ >= kUpdatesUntilSettled;
}

void caller_limiter::SetCallers(const routes_table& routes, time_point now) {
  std::erase_if(callers_, [&](const auto& entry) {
    return routes.FindCaller(entry.first) == nullptr &&
           entry.second.in_flight == 0;
  });
  for (const caller& configured : routes.callers()) {
    const bool limited = configured.limits != caller_limits{};
    if (limited || callers_.contains(configured.name)) {
      caller_state& state = callers_[configured.name];
      SetLimits(state, configured.limits);
      for (limit_state& limit : state.limits) {
        limit.bucket.SetRate(limit.own.allocated, now);
      }
    }
  }
}

std::optional<duration> caller_limiter::Admit(const std::string& caller,
                                              int64_t estimated_tokens,
                                              time_point now) {
  const auto found = callers_.find(caller);
  if (found == callers_.end()) {
    return std::nullopt;
  }
  caller_state& state = found->second;
  limit_state& requests = state.limits[IndexOf(limit_kind::kRequests)];
  limit_state& tokens = state.limits[IndexOf(limit_kind::kTokens)];
  const limit_state& concurrent =
      state.limits[IndexOf(limit_kind::kConcurrent)];
  const auto amount = static_cast<double>(estimated_tokens);
  requests.requested += 1;
  tokens.requested += amount;
  if (concurrent.limit > 0 &&
      static_cast<double>(state.in_flight + 1) > concurrent.own.allocated) {
    ++state.rejected;
    return kDefaultRetryAfter;
  }
  for (limit_state* limit : {&requests, &tokens}) {
    if (limit->limit > 0 && !limit->bucket.CanTake(now)) {
      return limit->bucket.TimeUntilAvailable().value_or(kDefaultRetryAfter);
    }
  }
  requests.bucket.Take(1);
  tokens.bucket.Take(amount);
  ++state.in_flight;
  return std::nullopt;
}

void caller_limiter::Finish(const std::string& caller, int64_t estimated_tokens,
                            int64_t actual_tokens) {
  const auto found = callers_.find(caller);
  if (found == callers_.end() || found->second.in_flight == 0) {
    return;
  }
  --found->second.in_flight;
  found->second.limits[IndexOf(limit_kind::kTokens)].bucket.Take(
      static_cast<double>(actual_tokens - estimated_tokens));
}

void caller_limiter::UpdateDemand(caller_state& state, double elapsed) {
  for (const limit_kind kind : {limit_kind::kRequests, limit_kind::kTokens}) {
    limit_state& limit = state.limits[IndexOf(kind)];
    const double rate = elapsed > 0 ? limit.requested / elapsed : 0;
    limit.own.demand += kDemandSmoothing * (rate - limit.own.demand);
    limit.requested = 0;
  }
  limit_state& concurrent = state.limits[IndexOf(limit_kind::kConcurrent)];
  const auto demanded = static_cast<double>(state.in_flight + state.rejected);
  concurrent.own.demand +=
      kDemandSmoothing * (demanded - concurrent.own.demand);
  state.rejected = 0;
}

void caller_limiter::UpdateAllocation(limit_state& limit,
                                      const std::string& caller,
                                      limit_kind kind,
                                      const limit_peers& peers) {
  allocation_inputs inputs;
  inputs.limit = limit.limit;
  inputs.own = limit.own;
  inputs.silent = peers.silent;
  for (const allocations_by_caller& allocations : peers.reachable) {
    inputs.reachable.push_back(AllocationOf(allocations, caller, kind));
  }
  for (const allocations_by_caller& allocations : peers.suspect) {
    inputs.suspect.push_back(AllocationOf(allocations, caller, kind));
  }
  limit.own.allocated =
      peers.in_contact ? NextAllocation(inputs) : IsolatedAllocation(inputs);
}

allocations_by_caller caller_limiter::Update(const limit_peers& peers,
                                             time_point now) {
  const double elapsed =
      std::chrono::duration<double>(now - last_update_.value_or(now)).count();
  last_update_ = now;
  ++updates_;
  node_count_ =
      1 + peers.reachable.size() + peers.suspect.size() + peers.silent;
  allocations_by_caller allocations;
  for (auto& [caller, state] : callers_) {
    UpdateDemand(state, elapsed);
    for (const limit_kind kind : kAllLimits) {
      limit_state& limit = state.limits[IndexOf(kind)];
      UpdateAllocation(limit, caller, kind, peers);
      limit.bucket.SetRate(limit.own.allocated, now);
      allocations[caller][IndexOf(kind)] = limit.own;
    }
    // Requests in flight occupy their part of the concurrent limit until they
    // end, even where the allocation is lower by now.
    limit_allocation& concurrent =
        allocations[caller][IndexOf(limit_kind::kConcurrent)];
    concurrent.allocated =
        std::max(concurrent.allocated, static_cast<double>(state.in_flight));
  }
  return allocations;
}

}  // namespace skylarkcroft
