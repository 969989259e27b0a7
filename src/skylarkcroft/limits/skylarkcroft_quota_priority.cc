#include "skylarkcroft/limits/skylarkcroft_quota_priority.h"

#include <algorithm>
#include <numbers>

namespace skylarkcroft {

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
         std::chrono::duration<double>(parameters_.half_life).count();
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
      workspaces_.try_emplace(workspace, parameters_).first->second;
  const int rank = std::clamp(request.rank, 0, kRanks - 1);
  rank_demand& own = demand.ranks.at(static_cast<size_t>(rank));
  own.asked.Add(1, now);
  const double needed = std::min(request.amount, limit.burst);
  if (level < needed) {
    demand.ordered = true;
  } else if (level > parameters_.stop_share * limit.burst) {
    demand.ordered = false;
  }
  decision.ordered = demand.ordered;
  decision.required_level = RequiredLevel(demand, limit, request, rank, now);
  decision.granted = level >= decision.required_level;
  if (decision.granted) {
    own.granted.Add(1, now);
    demand.granted_tokens.Add(request.amount, now);
    return decision;
  }
  decision.reserved = level >= needed;
  decision.wait = demand.returns.Add(
      {static_cast<size_t>(rank), request.amount,
       (decision.required_level - level) / limit.per_second,
       ReturnRate(demand, now), request.remaining, request.jitter_draw},
      now);
  return decision;
}

}  // namespace skylarkcroft
