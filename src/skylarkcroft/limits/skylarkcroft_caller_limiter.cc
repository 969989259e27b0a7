#include "skylarkcroft/limits/skylarkcroft_caller_limiter.h"

#include <algorithm>
#include <cmath>

#include "skylarkcroft/tables/skylarkcroft_routes_table.h"

namespace skylarkcroft {
namespace {

/// Weight of the last period in the demand.
constexpr double kNewDemand = 0.5;
constexpr int kUpdatesUntilReady = 3;
constexpr milliseconds kRetryWhenClosed{1000};

limit_claim ClaimOf(const claims_by_caller& claims, const std::string& caller,
                    limit_kind kind) {
  const auto found = claims.find(caller);
  return found == claims.end() ? limit_claim{} : found->second[IndexOf(kind)];
}

}  // namespace

void caller_limiter::SetLimits(caller_state& state,
                               const caller_limits& limits) {
  SetLimit(state.limits[IndexOf(limit_kind::kRequests)], limits.requests_per_s);
  SetLimit(state.limits[IndexOf(limit_kind::kTokens)], limits.tokens_per_s);
  SetLimit(state.limits[IndexOf(limit_kind::kConcurrent)],
           static_cast<double>(limits.concurrent));
}

// All nodes apply an edit within seconds of each other, each in proportion.
void caller_limiter::SetLimit(limit_state& limit, double wanted) const {
  const bool added = limit.limit == 0 && wanted > 0;
  if (added) {
    limit.own.part = settled() ? wanted / static_cast<double>(nodes_) : 0;
  } else if (wanted < limit.limit) {
    limit.own.part *= wanted / limit.limit;
  }
  limit.limit = wanted;
}

bool caller_limiter::ready() const { return callers_.empty() || settled(); }

bool caller_limiter::settled() const { return updates_ >= kUpdatesUntilReady; }

void caller_limiter::SetCallers(const routes_table& routes, time_point now) {
  std::erase_if(callers_, [&](const auto& entry) {
    return routes.FindCaller(entry.first) == nullptr &&
           entry.second.running == 0;
  });
  for (const caller& one : routes.callers()) {
    const bool limited = one.limits != caller_limits{};
    if (limited || callers_.contains(one.name)) {
      caller_state& state = callers_[one.name];
      SetLimits(state, one.limits);
      for (limit_state& limit : state.limits) {
        limit.bucket.SetRate(limit.own.part, now);
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
  requests.asked += 1;
  tokens.asked += amount;
  if (concurrent.limit > 0 &&
      static_cast<double>(state.running + 1) > concurrent.own.part) {
    ++state.refused;
    return kRetryWhenClosed;
  }
  for (limit_state* limit : {&requests, &tokens}) {
    if (limit->limit > 0 && !limit->bucket.Open(now)) {
      return limit->bucket.Wait().value_or(kRetryWhenClosed);
    }
  }
  requests.bucket.Take(1);
  tokens.bucket.Take(amount);
  ++state.running;
  return std::nullopt;
}

void caller_limiter::Finish(const std::string& caller, int64_t estimated_tokens,
                            int64_t actual_tokens) {
  const auto found = callers_.find(caller);
  if (found == callers_.end() || found->second.running == 0) {
    return;
  }
  --found->second.running;
  found->second.limits[IndexOf(limit_kind::kTokens)].bucket.Take(
      static_cast<double>(actual_tokens - estimated_tokens));
}

void caller_limiter::NoteDemand(caller_state& state, double elapsed) {
  for (const limit_kind kind : {limit_kind::kRequests, limit_kind::kTokens}) {
    limit_state& limit = state.limits[IndexOf(kind)];
    const double rate = elapsed > 0 ? limit.asked / elapsed : 0;
    limit.own.demand += kNewDemand * (rate - limit.own.demand);
    limit.asked = 0;
  }
  limit_state& concurrent = state.limits[IndexOf(limit_kind::kConcurrent)];
  const auto wanted = static_cast<double>(state.running + state.refused);
  concurrent.own.demand += kNewDemand * (wanted - concurrent.own.demand);
  state.refused = 0;
}

void caller_limiter::SetPart(limit_state& limit, const std::string& caller,
                             limit_kind kind, const limit_peers& peers) {
  share_view view;
  view.limit = limit.limit;
  view.own = limit.own;
  view.silent = peers.silent;
  for (const claims_by_caller& claims : peers.reachable) {
    view.reachable.push_back(ClaimOf(claims, caller, kind));
  }
  for (const claims_by_caller& claims : peers.suspect) {
    view.suspect.push_back(ClaimOf(claims, caller, kind));
  }
  limit.own.part = peers.in_contact ? NextPart(view) : SafePart(view);
}

claims_by_caller caller_limiter::Update(const limit_peers& peers,
                                        time_point now) {
  const double elapsed =
      std::chrono::duration<double>(now - updated_.value_or(now)).count();
  updated_ = now;
  ++updates_;
  nodes_ = 1 + peers.reachable.size() + peers.suspect.size() + peers.silent;
  claims_by_caller claims;
  for (auto& [caller, state] : callers_) {
    NoteDemand(state, elapsed);
    for (const limit_kind kind : kAllLimits) {
      limit_state& limit = state.limits[IndexOf(kind)];
      SetPart(limit, caller, kind, peers);
      limit.bucket.SetRate(limit.own.part, now);
      claims[caller][IndexOf(kind)] = limit.own;
    }
    // Requests that run on hold their part until they end.
    limit_claim& concurrent = claims[caller][IndexOf(limit_kind::kConcurrent)];
    concurrent.part =
        std::max(concurrent.part, static_cast<double>(state.running));
  }
  return claims;
}

}  // namespace skylarkcroft
