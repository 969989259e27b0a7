#include "skylarkcroft/relay/skylarkcroft_quota_admission.h"

#include "skylarkcroft/peers/skylarkcroft_peer_report.h"

namespace skylarkcroft {

quota_admission AdmitByQuota(const relay_environment& environment,
                             const quota_need& need, request_record& record) {
  const workspace_entry* workspace = need.workspace;
  if (workspace == nullptr || workspace->tokens_per_second <= 0) {
    return {};
  }
  quota_limit limit{workspace->tokens_per_second, workspace->burst_tokens};
  double amount = 1;
  const size_t nodes = environment.node_count();
  if (workspace->counts_tokens) {
    limit =
        WithTolerance(limit, environment.quota_overage, ReportPeriod(nodes));
    amount = need.stated_tokens.value_or(workspace->default_request_tokens);
  }
  const time_point now = environment.clock();
  const double level =
      environment.quotas.Level(workspace->name, limit, nodes, now);
  const quota_priority_decision decision = environment.quota_order.Decide(
      workspace->name, level, limit,
      {need.route_rank, amount, need.remaining, environment.uniform_random(),
       environment.uniform_random()},
      now);
  record.allotment_amount = amount;
  record.allotment_level = level;
  record.allotment_required = decision.required_level;
  if (!decision.granted) {
    return {0, decision.reserved ? "allotment_reserved" : "over_allotment",
            decision.wait};
  }
  if (decision.ordered) {
    environment.quotas.Charge(workspace->name, limit, amount, nodes, now);
    record.allotment_source = "order";
    return {amount, {}, milliseconds(0)};
  }
  const quota_decision taken =
      environment.quotas.Take(workspace->name, limit, amount, nodes, now);
  record.allotment_source = std::string(ToString(taken.source));
  record.allotment_demand = taken.demand_rate;
  if (!taken.granted) {
    return {0, "over_allotment", taken.wait};
  }
  return {amount, {}, milliseconds(0)};
}

}  // namespace skylarkcroft
