#include "skylarkcroft/rollout/skylarkcroft_rollout_router.h"

#include <algorithm>

#include "skylarkcroft/placement/skylarkcroft_upstream_load.h"

namespace skylarkcroft {

bool rollout_router::OnOrder(const rollout_order& order) {
  service_state& state = services_[order.service];
  if (state.order.has_value()) {
    if (order.position <= state.order->position) {
      return false;
    }
    if (IsSameOrder(order, *state.order)) {
      // The store has come back from an older copy.
      state.order->position = order.position;
      if (state.plan.has_value()) {
        state.plan->order.position = order.position;
      }
      return false;
    }
    const bool completed = state.plan.has_value() &&
                           state.plan->stage == rollout_stage::kCompleted;
    if (!completed) {
      state.rejected.insert(state.order->target);
    }
  }
  state.rejected.erase(order.target);
  state.order = order;
  state.plan.reset();
  return true;
}

bool rollout_router::OnPlan(const rollout_plan& plan, time_point now) {
  OnOrder(plan.order);
  service_state& state = services_[plan.order.service];
  if (!IsSameOrder(plan.order, *state.order)) {
    return false;
  }
  if (state.plan.has_value() && !Supersedes(plan, *state.plan)) {
    const bool is_same = plan.fencing_token == state.plan->fencing_token &&
                         plan.sequence == state.plan->sequence;
    if (is_same) {
      state.heard_at = now;
    }
    return false;
  }
  state.plan = plan;
  state.heard_at = now;
  if (plan.stage == rollout_stage::kCompleted) {
    state.settled = plan.order.target;
  } else if (plan.stage == rollout_stage::kRolledBack) {
    state.rejected.insert(plan.order.target);
  }
  return true;
}

void rollout_router::UpdateUpstreams(
    const std::string& service, const std::vector<upstream_entry>& upstreams) {
  service_state& state = services_[service];
  const bool running = IsRunning(service);
  std::map<std::string, size_t> counts;
  std::vector<std::pair<uint32_t, std::string>> targets;
  for (const upstream_entry& entry : upstreams) {
    if (entry.service != service || entry.is_draining) {
      continue;
    }
    ++counts[entry.version];
    if (state.order.has_value() && entry.version == state.order->target) {
      targets.emplace_back(UpstreamKey(entry.id), entry.id);
    }
  }
  std::sort(targets.begin(), targets.end());
  state.new_upstreams.clear();
  for (auto& [key, id] : targets) {
    state.new_upstreams.push_back(std::move(id));
  }
  const auto may_settle = [&](const std::string& version) {
    return !state.rejected.contains(version) &&
           !(running && version == state.order->target);
  };
  const bool keeps = state.settled.has_value() &&
                     counts.contains(*state.settled) &&
                     may_settle(*state.settled);
  if (!keeps) {
    size_t most = 0;
    for (const auto& [version, count] : counts) {
      if (may_settle(version) && count > most) {
        most = count;
        state.settled = version;
      }
    }
  }
  state.settled_upstreams = 0;
  if (state.settled.has_value()) {
    const auto settled = counts.find(*state.settled);
    state.settled_upstreams = settled == counts.end() ? 0 : settled->second;
  }
}

std::vector<upstream_filter_fn> rollout_router::Filters(
    const rollout_request& request, time_point now) const {
  const service_state* state = Find(request.service);
  if (state == nullptr ||
      (!state->settled.has_value() && !state->order.has_value())) {
    return {};
  }
  const upstream_filter_fn settled = [state](const upstream_entry& entry) {
    return state->settled == entry.version;
  };
  if (!state->order.has_value()) {
    return {settled};
  }
  const upstream_filter_fn target = [state](const upstream_entry& entry) {
    return entry.version == state->order->target;
  };
  if (state->plan.has_value() && IsFinal(state->plan->stage)) {
    // After a completion the target is the settled version.
    return {settled};
  }
  const double share = ShareOf(*state, request, now);
  if (share >= 1 && state->plan->stage == rollout_stage::kDrain) {
    return {target, settled};
  }
  if (request.draw < share) {
    const auto end = state->new_upstreams.begin() +
                     std::min<std::ptrdiff_t>(std::ssize(state->new_upstreams),
                                              state->plan->canary_upstreams);
    const upstream_filter_fn canary = [state,
                                       end](const upstream_entry& entry) {
      return entry.version == state->order->target &&
             std::find(state->new_upstreams.begin(), end, entry.id) != end;
    };
    if (share >= 1) {
      return {canary, target, settled};
    }
    return {canary, settled};
  }
  if (IsOnlyTargetLeft(*state)) {
    return {settled, target};
  }
  return {settled};
}

bool rollout_router::IsTarget(const std::string& service,
                              const std::string& version) const {
  const rollout_order* order = Order(service);
  return order != nullptr && order->target == version;
}

const rollout_order* rollout_router::Order(const std::string& service) const {
  const service_state* state = Find(service);
  return state != nullptr && state->order.has_value() ? &*state->order
                                                      : nullptr;
}

const rollout_plan* rollout_router::Plan(const std::string& service) const {
  const service_state* state = Find(service);
  return state != nullptr && state->plan.has_value() ? &*state->plan : nullptr;
}

bool rollout_router::IsRunning(const std::string& service) const {
  const service_state* state = Find(service);
  return state != nullptr && state->order.has_value() &&
         !(state->plan.has_value() && IsFinal(state->plan->stage));
}

bool rollout_router::IsOutsideCapacity(const std::string& service,
                                       const std::string& version) const {
  const service_state* state = Find(service);
  return state != nullptr &&
         (state->rejected.contains(version) ||
          (IsRunning(service) && version == state->order->target));
}

version_counts rollout_router::Counts(const std::string& service) const {
  const service_state* state = Find(service);
  if (state == nullptr) {
    return {};
  }
  return {state->settled_upstreams, state->new_upstreams.size()};
}

std::vector<std::string> rollout_router::Services() const {
  std::vector<std::string> names;
  for (const auto& [name, state] : services_) {
    if (state.order.has_value()) {
      names.push_back(name);
    }
  }
  return names;
}

const rollout_router::service_state* rollout_router::Find(
    const std::string& service) const {
  const auto found = services_.find(service);
  return found == services_.end() ? nullptr : &found->second;
}

bool rollout_router::IsOnlyTargetLeft(const service_state& state) {
  return state.settled_upstreams == 0 && !state.new_upstreams.empty();
}

double rollout_router::ShareOf(const service_state& state,
                               const rollout_request& request,
                               time_point now) const {
  if (!state.plan.has_value() || now - state.heard_at > plan_lifetime_) {
    return 0;
  }
  const rollout_plan& plan = *state.plan;
  switch (plan.stage) {
    case rollout_stage::kDrain:
      return 1;
    case rollout_stage::kCanary:
    case rollout_stage::kRamp:
      if (std::find(plan.moved_routes.begin(), plan.moved_routes.end(),
                    request.route) != plan.moved_routes.end()) {
        return 1;
      }
      // A retry is one more request to the new version; it may be avoided.
      return request.is_retry ? 0 : plan.share;
    default:
      return 0;
  }
}

}  // namespace skylarkcroft
