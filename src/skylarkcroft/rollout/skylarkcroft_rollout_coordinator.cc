#include "skylarkcroft/rollout/skylarkcroft_rollout_coordinator.h"

#include <algorithm>
#include <utility>

namespace skylarkcroft {
namespace {

// The list of upstreams is taken in this often while a rollout runs; otherwise
// only the version that serves the requests has to be known.
constexpr milliseconds kUpstreamsInterval{100};
constexpr milliseconds kIdleUpstreamsInterval{1000};
// All nodes get the plan this often, far more often than it expires.
constexpr milliseconds kPlanInterval{500};
// Nodes that have not confirmed the plan get it this often.
constexpr milliseconds kUnconfirmedInterval{200};
// A final plan is sent, and followed by reports, for this long.
constexpr milliseconds kFinalPlanTime{10000};
constexpr milliseconds kWriteRetryDelay{200};

}  // namespace

rollout_coordinator::rollout_coordinator(rollout_environment environment,
                                         const rollout_parameters& parameters,
                                         milliseconds plan_lifetime)
    : environment_(std::move(environment)),
      parameters_(parameters),
      router_(plan_lifetime) {}

rollout_coordinator::~rollout_coordinator() = default;

void rollout_coordinator::OnOrder(const rollout_order& order) {
  if (router_.OnOrder(order)) {
    recorders_[order.service].Start(order);
    final_at_.erase(order.service);
    next_upstreams_at_ = {};
  }
}

bool rollout_coordinator::OnDatagram(const endpoint& from,
                                     std::string_view bytes) {
  const time_point now = environment_.clock();
  const std::optional<rollout_plan> plan = DecodePlan(bytes);
  if (plan.has_value()) {
    OnOrder(plan->order);
    const rollout_plan* current = router_.Plan(plan->order.service);
    const bool is_outdated =
        current != nullptr && plan->fencing_token < current->fencing_token;
    if (!is_outdated) {
      holders_[plan->order.service] = from;
    }
    Follow(*plan, now);
    return true;
  }
  const std::optional<rollout_report> report = DecodeRolloutReport(bytes);
  if (!report.has_value()) {
    return false;
  }
  const auto held = held_.find(report->order.service);
  if (held != held_.end()) {
    nodes_[report->node] = from;
    held->second.tally.OnReport(*report, now);
  }
  return true;
}

void rollout_coordinator::OnStoreRestored() {
  for (auto& [service, held] : held_) {
    held.controller.OnStoreRestored();
  }
}

uint64_t rollout_coordinator::OnRequestSent(const std::string& route,
                                            const upstream_entry& upstream,
                                            time_point now) {
  return recorders_[upstream.service].OnSent(route, upstream.version, now);
}

void rollout_coordinator::OnRequestEnded(const std::string& service,
                                         uint64_t id, rollout_request_end end,
                                         time_point now) {
  recorders_[service].OnEnded(id, end, now);
}

void rollout_coordinator::Tick(milliseconds report_period, time_point now) {
  UpdateUpstreams(now);
  RunHolder(report_period, now);
  SendReports(report_period, now);
}

void rollout_coordinator::UpdateUpstreams(time_point now) {
  if (now < next_upstreams_at_) {
    return;
  }
  std::map<std::string, std::vector<upstream_entry>> by_service;
  for (upstream_entry& entry : environment_.upstreams()) {
    by_service[entry.service].push_back(std::move(entry));
  }
  bool running = false;
  for (const std::string& service : router_.Services()) {
    running = running || router_.IsRunning(service);
    // Also without upstreams.
    by_service.try_emplace(service);
  }
  for (const auto& [service, entries] : by_service) {
    router_.UpdateUpstreams(service, entries);
  }
  next_upstreams_at_ =
      now + (running ? kUpstreamsInterval : kIdleUpstreamsInterval);
}

void rollout_coordinator::Follow(const rollout_plan& plan, time_point now) {
  const std::string& service = plan.order.service;
  if (!router_.OnPlan(plan, now)) {
    return;
  }
  const rollout_plan& followed = *router_.Plan(service);
  if (IsFinal(followed.stage)) {
    final_at_.try_emplace(service, now);
    next_upstreams_at_ = {};
  }
  // The holder waits for the confirmation.
  next_report_at_[service] = now;
  environment_.on_plan(followed);
}

rollout_report rollout_coordinator::MakeReport(const rollout_plan& plan,
                                               time_point now) {
  const rollout_recorder& recorder = recorders_[plan.order.service];
  return {plan.order,         environment_.node,       environment_.incarnation,
          ++report_sequence_, plan.fencing_token,      plan.sequence,
          plan.stage,         recorder.RunningAtOld(), recorder.Totals(now)};
}

void rollout_coordinator::SendReports(milliseconds report_period,
                                      time_point now) {
  for (const std::string& service : router_.Services()) {
    const rollout_plan* plan = router_.Plan(service);
    if (plan == nullptr || now < next_report_at_[service]) {
      continue;
    }
    const auto final_at = final_at_.find(service);
    if (final_at != final_at_.end() &&
        now - final_at->second > kFinalPlanTime) {
      continue;
    }
    next_report_at_[service] = now + RolloutReportPeriod(report_period, *plan);
    const rollout_report report = MakeReport(*plan, now);
    const auto held = held_.find(service);
    if (held != held_.end()) {
      held->second.tally.OnReport(report, now);
      continue;
    }
    const auto holder = holders_.find(service);
    if (holder == holders_.end()) {
      continue;
    }
    for (const std::string& datagram : EncodeRolloutReport(report)) {
      environment_.send(holder->second, datagram);
    }
  }
}

void rollout_coordinator::RunHolder(milliseconds report_period,
                                    time_point now) {
  const std::optional<held_lease> lease = environment_.lease(now);
  if (!lease.has_value()) {
    held_.clear();
    stored_.clear();
    read_fence_ = 0;
    return;
  }
  if (router_.Services().empty()) {
    return;
  }
  if (read_fence_ != lease->fencing_token) {
    held_.clear();
    ReadPlans(lease->fencing_token);
    return;
  }
  HoldOrders(*lease, now);
  for (auto& [service, held] : held_) {
    Decide(service, held, report_period, now);
    Write(service, held, *lease, now);
    Announce(held, now);
  }
}

void rollout_coordinator::ReadPlans(int64_t fencing_token) {
  if (read_in_flight_) {
    return;
  }
  read_in_flight_ = true;
  const std::weak_ptr<bool> alive = alive_;
  environment_.store.Read(kRolloutsTable, [this, alive, fencing_token](
                                              const store_response& response) {
    if (alive.expired()) {
      return;
    }
    read_in_flight_ = false;
    if (response.outcome != store_outcome::kDone) {
      return;
    }
    stored_.clear();
    for (const stored_row& row : response.rows) {
      const std::optional<rollout_plan> plan = DecodePlanRow(row.value);
      if (plan.has_value() && !row.removed) {
        stored_[plan->order.service] = *plan;
      }
    }
    read_fence_ = fencing_token;
  });
}

void rollout_coordinator::HoldOrders(const held_lease& lease, time_point now) {
  for (const std::string& service : router_.Services()) {
    const rollout_order& order = *router_.Order(service);
    const auto held = held_.find(service);
    const bool is_held =
        held != held_.end() &&
        IsSameOrder(held->second.controller.plan().order, order);
    if (is_held) {
      continue;
    }
    if (held != held_.end()) {
      held_.erase(held);
    }
    rollout_plan plan;
    plan.order = order;
    plan.ordered_at_ms = environment_.true_time_ms(now);
    const auto stored = stored_.find(service);
    const bool is_stored =
        stored != stored_.end() && IsSameOrder(stored->second.order, order);
    if (is_stored) {
      plan = stored->second;
    }
    // What a former holder announced counts even if it could not write it.
    const rollout_plan* followed = router_.Plan(service);
    const bool is_final = followed != nullptr && IsFinal(followed->stage);
    const bool must_write = !is_stored || (is_final && !IsFinal(plan.stage));
    if (is_final && must_write) {
      plan = *followed;
    }
    plan.order = order;
    plan.fencing_token = lease.fencing_token;
    plan.sequence = 0;
    held_.emplace(service, held_rollout{rollout_controller(parameters_, plan,
                                                           !must_write),
                                        rollout_tally(order)});
  }
}

void rollout_coordinator::Decide(const std::string& service, held_rollout& held,
                                 milliseconds report_period, time_point now) {
  const milliseconds max_silence = 4 * report_period + kPlanInterval;
  held.tally.DropSilent(max_silence, now);
  std::vector<std::string> nodes = environment_.live_peers(now);
  nodes.push_back(environment_.node);
  const rollout_plan& plan = held.controller.plan();
  const version_counts counts = router_.Counts(service);
  rollout_view view;
  view.totals = held.tally.totals();
  view.old_upstreams = counts.old_upstreams;
  view.new_upstreams = counts.new_upstreams;
  view.elapsed =
      milliseconds(environment_.true_time_ms(now) - plan.ordered_at_ms);
  view.report_age = report_period / 2 + kUpstreamsInterval / 2;
  view.drained = held.tally.IsDrained(plan, nodes);
  view.rolled_back_at_a_node = held.tally.IsRolledBackAtANode();
  held.controller.Step(view, now);
  Follow(held.controller.plan(), now);
}

void rollout_coordinator::Write(const std::string& service, held_rollout& held,
                                const held_lease& lease, time_point now) {
  if (held.write_in_flight || now < held.next_write_at ||
      !held.controller.to_write().has_value()) {
    return;
  }
  held.write_in_flight = true;
  const rollout_plan plan = *held.controller.to_write();
  const row_transaction transaction{
      {lease.condition},
      {{kRolloutsTable, service, EncodePlanRow(plan)},
       environment_.status_row(plan)}};
  const std::weak_ptr<bool> alive = alive_;
  environment_.store.Commit(
      transaction, [this, alive, plan](const store_response& response) {
        if (alive.expired()) {
          return;
        }
        const auto held = held_.find(plan.order.service);
        const bool is_held =
            held != held_.end() &&
            held->second.controller.plan().order == plan.order &&
            held->second.controller.plan().fencing_token == plan.fencing_token;
        if (!is_held) {
          return;
        }
        held->second.write_in_flight = false;
        if (response.outcome == store_outcome::kDone) {
          held->second.controller.OnWritten(plan);
          stored_[plan.order.service] = plan;
        } else {
          held->second.next_write_at = environment_.clock() + kWriteRetryDelay;
        }
      });
}

void rollout_coordinator::Announce(held_rollout& held, time_point now) {
  const rollout_plan& plan = held.controller.plan();
  Follow(plan, now);
  if (IsFinal(plan.stage)) {
    if (!held.final_since.has_value()) {
      held.final_since = now;
    }
    if (now - *held.final_since > kFinalPlanTime) {
      return;
    }
  }
  const bool changed = !held.sent.has_value() || !(*held.sent == plan);
  const std::string datagram = EncodePlan(plan);
  if (changed || now - held.sent_at >= kPlanInterval) {
    held.sent = plan;
    held.sent_at = now;
    held.resent_at = now;
    environment_.send_to_all(datagram);
    return;
  }
  if (now - held.resent_at < kUnconfirmedInterval) {
    return;
  }
  held.resent_at = now;
  for (const std::string& node : environment_.live_peers(now)) {
    const auto address = nodes_.find(node);
    if (address != nodes_.end() && !held.tally.Follows(node, plan)) {
      environment_.send(address->second, datagram);
    }
  }
}

}  // namespace skylarkcroft
