#include "skylarkcroft/control/skylarkcroft_pool_control.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "skylarkcroft/routing/skylarkcroft_upstream_directory.h"
#include "skylarkcroft/tables/skylarkcroft_active_tables.h"

namespace skylarkcroft {
namespace {

bool IsControlled(const pool& spec) {
  return spec.kind == pool_kind::kEngine && !spec.deployment.model.empty();
}

const upstream_state* FindState(const upstream_directory& directory,
                                const std::string& pool_name,
                                const std::string& upstream_name) {
  const std::vector<upstream_state>& states =
      directory.UpstreamsInPool(pool_name);
  const auto found = std::find_if(
      states.begin(), states.end(),
      [&](const auto& state) { return state.spec.name == upstream_name; });
  return found == states.end() ? nullptr : &*found;
}

const char* ToText(order_outcome outcome) {
  switch (outcome) {
    case order_outcome::kApplied:
      return "applied";
    case order_outcome::kStaleFence:
      return "stale_fence";
    case order_outcome::kUnknown:
      return "unknown";
  }
  return "unknown";
}

nlohmann::json DescribeOrders(const order_status& status, time_point now) {
  nlohmann::json last = nlohmann::json::array();
  for (const sent_order& sent : status.last_orders) {
    last.push_back({{"upstream", sent.upstream_name},
                    {"fence", sent.order.fence},
                    {"number", sent.order.number},
                    {"version", sent.order.desired.version},
                    {"draining", sent.order.desired.draining},
                    {"outcome", ToText(sent.outcome)},
                    {"age_ms", ElapsedMs(sent.sent_at, now)}});
  }
  return {{"settled", status.plan.up_to_date},
          {"out", status.plan.out_of_service},
          {"outstanding", status.plan.awaiting_drain},
          {"superseded", status.plan.superseded},
          {"sent", status.sent},
          {"refused", status.refused},
          {"unknown", status.unknown},
          {"throttled", status.throttled},
          {"last_orders", last}};
}

}  // namespace

pool_control::pool_control(pool_control_environment environment,
                           const lease_member& self,
                           const lease_parameters& parameters,
                           const order_settings& settings)
    : environment_(std::move(environment)),
      leases_({environment_.loop, environment_.store, environment_.commits,
               environment_.members, [this] { return PoolNames(); },
               environment_.clock},
              self, parameters),
      order_client_(environment_.loop, environment_.client,
                    parameters.order_timeout),
      orders_(MakeOrderEnvironment(), self.name, settings) {}

order_environment pool_control::MakeOrderEnvironment() {
  return {
      environment_.loop,
      order_client_,
      environment_.weights,
      [this] { return Pools(); },
      [this](const std::string& pool_name) { return leases_.Find(pool_name); },
      [this](const std::string& pool_name, const std::string& upstream_name) {
        return RunningOn(pool_name, upstream_name);
      },
      [this](const std::string& pool_name, const std::string& upstream_name) {
        return ReclaimPending(pool_name, upstream_name);
      },
      environment_.clock};
}

std::vector<controlled_pool> pool_control::Pools() const {
  std::vector<controlled_pool> found;
  const table_set_ptr tables = environment_.tables.current();
  for (const pool& spec : tables->pools.pools()) {
    if (IsControlled(spec)) {
      found.push_back({spec, tables->revision});
    }
  }
  return found;
}

std::vector<std::string> pool_control::PoolNames() const {
  std::vector<std::string> names;
  for (const pool& spec : environment_.tables.current()->pools.pools()) {
    if (IsControlled(spec)) {
      names.push_back(spec.name);
    }
  }
  return names;
}

int64_t pool_control::RunningOn(const std::string& pool_name,
                                const std::string& upstream_name) const {
  const upstream_state* state =
      FindState(environment_.directory, pool_name, upstream_name);
  if (state == nullptr || !state->report) {
    return -1;
  }
  return state->report->running + state->report->waiting;
}

bool pool_control::ReclaimPending(const std::string& pool_name,
                                  const std::string& upstream_name) const {
  const upstream_state* state =
      FindState(environment_.directory, pool_name, upstream_name);
  return state != nullptr && state->is_draining;
}

nlohmann::json pool_control::Describe(time_point now) const {
  nlohmann::json pools = nlohmann::json::array();
  for (const std::string& name : PoolNames()) {
    const pool_lease* lease = leases_.Find(name);
    if (lease == nullptr) {
      continue;
    }
    nlohmann::json entry = {
        {"pool", name},
        {"holder", lease->view().record.holder.name},
        {"fence", lease->fence()},
        {"may_act", lease->MayAct(now)},
        {"row_age_ms", ElapsedMs(lease->view().first_seen_at, now)}};
    const order_status* status = orders_.Find(name);
    if (status != nullptr) {
      entry["orders"] = DescribeOrders(*status, now);
    }
    pools.push_back(entry);
  }
  const lease_counts& counts = leases_.counts();
  return {{"pools", pools},
          {"lease_reads", counts.reads},
          {"lease_writes", counts.writes},
          {"lease_takeovers", counts.takeovers},
          {"lease_read_backs", counts.read_backs}};
}

}  // namespace skylarkcroft
