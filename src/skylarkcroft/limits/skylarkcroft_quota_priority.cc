#include "skylarkcroft/limits/skylarkcroft_quota_priority.h"

#include <algorithm>
#include <numbers>

namespace skylarkcroft {
namespace {

constexpr double kMillisPerSecond = 1000;

milliseconds ToMilliseconds(double seconds) {
  return milliseconds(
      static_cast<milliseconds::rep>(kMillisPerSecond * seconds));
}

double ToSeconds(duration span) {
  return std::chrono::duration<double>(span).count();
}

}  // namespace

double quota_priority::GrantedShare(const workspace_demand& demand,
                                    time_point now) {
  // One granted request more, so that a node without requests assumes room.
  double asked = 1;
  double granted = 1;
  for (const rank_demand& rank : demand.ranks) {
    asked += rank.asked.Value(now);
    granted += rank.granted.Value(now);
  }
  return granted / asked;
}

double quota_priority::RequiredLevel(const workspace_demand& demand,
                                     const quota_limit& limit,
                                     const quota_request& request, int rank,
                                     time_point now) const {
  // A request larger than the burst is granted when the bucket is full.
  const double needed = std::min(request.amount, limit.burst);
  const double assured =
      parameters_.min_relative_grants * GrantedShare(demand, now);
  if (!demand.ordered || request.draw < assured) {
    return needed;
  }
  const double draw = (request.draw - assured) / (1 - assured);
  const double size =
      request.amount / (request.amount + parameters_.medium_request_tokens);
  const double position = rank + parameters_.size_fraction * size +
                          (1 - parameters_.size_fraction) * draw;
  return std::max(needed, limit.burst * parameters_.rank_step * position);
}

double quota_priority::ReturnRate(const workspace_demand& demand,
                                  time_point now) const {
  return demand.granted_tokens.Value(now) * std::numbers::ln2 /
         ToSeconds(parameters_.half_life);
}

milliseconds quota_priority::WaitForRoom(workspace_demand& demand,
                                         double missing,
                                         const quota_limit& limit,
                                         const quota_request& request, int rank,
                                         time_point now) const {
  const double rate = ReturnRate(demand, now);
  const double elapsed = ToSeconds(now - demand.returns_updated);
  demand.returns_updated = now;
  double ahead = 0;
  double served = elapsed * rate;
  for (int i = 0; i < kRanks; ++i) {
    double& returning =
        demand.ranks.at(static_cast<size_t>(i)).returning_tokens;
    const double returned = std::min(returning, served);
    returning -= returned;
    served -= returned;
    ahead += i <= rank ? returning : 0;
  }
  const double max_wait = ToSeconds(parameters_.max_wait);
  const double until_level = missing / limit.per_second;
  const double until_return = rate > 0 ? ahead / rate : 0;
  const double wait = std::min(
      max_wait,
      std::max(until_level + until_return, ToSeconds(parameters_.min_wait)));
  const double jitter = 1 + parameters_.jitter_fraction * request.jitter_draw;
  const double useful =
      parameters_.useful_fraction * ToSeconds(request.remaining);
  if (wait > useful) {
    return ToMilliseconds(wait * jitter);
  }
  demand.ranks.at(static_cast<size_t>(rank)).returning_tokens += request.amount;
  return ToMilliseconds(std::min(wait * jitter, useful));
}

quota_priority_decision quota_priority::Decide(const std::string& workspace,
                                               double level,
                                               const quota_limit& limit,
                                               const quota_request& request,
                                               time_point now) {
  quota_priority_decision decision;
  if (limit.per_second <= 0) {
    decision.granted = true;
    return decision;
  }
  workspace_demand& demand =
      workspaces_.try_emplace(workspace, parameters_.half_life).first->second;
  const int rank = std::clamp(request.rank, 0, kRanks - 1);
  rank_demand& own = demand.ranks.at(static_cast<size_t>(rank));
  own.asked.Add(1, now);
  const double needed = std::min(request.amount, limit.burst);
  if (level < needed) {
    demand.ordered = true;
  } else if (level > parameters_.stop_share * limit.burst) {
    demand.ordered = false;
  }
  decision.required_level = RequiredLevel(demand, limit, request, rank, now);
  decision.granted = level >= decision.required_level;
  if (decision.granted) {
    own.granted.Add(1, now);
    demand.granted_tokens.Add(request.amount, now);
    return decision;
  }
  decision.reserved = level >= needed;
  decision.wait = WaitForRoom(demand, decision.required_level - level, limit,
                              request, rank, now);
  return decision;
}

}  // namespace skylarkcroft
