#include "skylarkcroft/rollout/skylarkcroft_rollout_controller.h"

#include <algorithm>
#include <cmath>

namespace skylarkcroft {
namespace {

milliseconds Scale(milliseconds duration, double factor) {
  return milliseconds(static_cast<milliseconds::rep>(
      factor * static_cast<double>(duration.count())));
}

// The running requests of `newer` are kept: they are a state, not a sum.
rollout_totals Difference(const rollout_totals& newer,
                          const rollout_totals& older) {
  rollout_totals difference = newer;
  for (const auto& [route, outcomes] : older) {
    route_outcomes counts = outcomes;
    counts.old_version.running = {};
    counts.new_version.running = {};
    difference[route].Add(counts, -1);
  }
  return difference;
}

double SentToNew(const rollout_totals& totals) {
  int64_t sum = 0;
  for (const auto& [route, outcomes] : totals) {
    sum += outcomes.new_version.sent;
  }
  return static_cast<double>(sum);
}

double SentToAll(const rollout_totals& totals) {
  int64_t sum = 0;
  for (const auto& [route, outcomes] : totals) {
    sum += outcomes.old_version.sent + outcomes.new_version.sent;
  }
  return static_cast<double>(sum);
}

std::string Describe(const rollout_fault& fault) {
  return fault.what + (fault.route.empty() ? "" : " on route " + fault.route) +
         ": " + std::to_string(fault.bad) + " of " +
         std::to_string(fault.answers) + ", expected share " +
         std::to_string(fault.expected_share);
}

}  // namespace

rollout_controller::rollout_controller(const rollout_parameters& parameters,
                                       const rollout_plan& plan, bool is_stored)
    : parameters_(parameters), plan_(plan) {
  if (!is_stored) {
    to_write_ = plan_;
  }
}

void rollout_controller::Announce(const rollout_plan& plan) {
  const int64_t sequence = plan_.sequence;
  plan_ = plan;
  plan_.sequence = sequence + 1;
}

void rollout_controller::RollBack(const std::string& reason) {
  rollout_plan next = plan_;
  next.stage = rollout_stage::kRolledBack;
  next.share = 0;
  next.canary_upstreams = 0;
  next.moved_routes.clear();
  next.reason = reason;
  Announce(next);
  to_write_ = plan_;
}

void rollout_controller::Advance(rollout_stage stage) {
  to_write_ = plan_;
  to_write_->stage = stage;
}

void rollout_controller::OnWritten(const rollout_plan& plan) {
  if (!to_write_.has_value() || to_write_->stage != plan.stage) {
    // A rollback was decided meanwhile and is still to be written.
    return;
  }
  to_write_.reset();
  if (plan.stage != plan_.stage) {
    rollout_plan next = plan_;
    next.stage = plan.stage;
    Announce(next);
  }
}

void rollout_controller::OnStoreRestored() {
  if (!to_write_.has_value()) {
    to_write_ = plan_;
  }
}

void rollout_controller::Step(const rollout_view& view, time_point now) {
  if (IsFinal(plan_.stage)) {
    return;
  }
  if (view.rolled_back_at_a_node) {
    RollBack("rolled back by a former holder");
    return;
  }
  fault_ = Judge(view, now);
  if (fault_.has_value()) {
    RollBack(Describe(*fault_));
    return;
  }
  const milliseconds left = plan_.order.period - view.elapsed;
  if (plan_.stage == rollout_stage::kWaiting && view.new_upstreams == 0 &&
      left <= parameters_.write_margin) {
    RollBack("no upstream of the new version became ready");
    return;
  }
  UpdateCanary(view);
  UpdateMovedRoutes(view);
  if (to_write_.has_value()) {
    return;
  }
  if (plan_.stage == rollout_stage::kWaiting && view.new_upstreams > 0) {
    Advance(rollout_stage::kCanary);
    return;
  }
  if (plan_.stage == rollout_stage::kCanary && view.new_upstreams > 0) {
    milliseconds longest = MinLeadTime(view);
    for (const auto& [route, outcomes] : view.totals) {
      longest = std::max(longest, LeadTime(route, view));
    }
    // The write of the next stage takes a moment as well.
    if (left <= longest || view.old_upstreams == 0) {
      Advance(rollout_stage::kRamp);
    }
    return;
  }
  if (plan_.stage == rollout_stage::kRamp &&
      (left <= MinLeadTime(view) || view.old_upstreams == 0)) {
    Advance(rollout_stage::kDrain);
    return;
  }
  // Until then the version is judged under the whole load.
  if (plan_.stage == rollout_stage::kDrain && view.drained &&
      left <= parameters_.write_margin) {
    Advance(rollout_stage::kCompleted);
  }
}

std::optional<rollout_fault> rollout_controller::Judge(const rollout_view& view,
                                                       time_point now) {
  const bool before_ramp = plan_.stage == rollout_stage::kWaiting ||
                           plan_.stage == rollout_stage::kCanary;
  if (before_ramp || reference_.empty()) {
    reference_ = view.totals;
  }
  if (!snapshots_.empty()) {
    recent_ = Difference(view.totals, snapshots_.front().totals);
  }
  // In the ramp the old version's upstreams become idle and faster.
  std::optional<rollout_fault> fault = FindRolloutFault(
      view.totals, reference_, before_ramp, parameters_.judgement);
  if (!fault.has_value()) {
    fault = FindRolloutFault(recent_, reference_, before_ramp,
                             parameters_.judgement);
  }
  if (snapshots_.empty() ||
      now - snapshots_.back().at >= parameters_.snapshot_interval) {
    snapshots_.push_back({now, view.totals});
  }
  while (snapshots_.size() > 1 &&
         now - snapshots_.at(1).at >= parameters_.judged_span) {
    snapshots_.pop_front();
  }
  return fault;
}

void rollout_controller::UpdateCanary(const rollout_view& view) {
  if (plan_.stage != rollout_stage::kCanary) {
    return;
  }
  const double part =
      parameters_.canary_share_part * parameters_.exposure_share;
  const double old_upstreams =
      static_cast<double>(std::max<size_t>(view.old_upstreams, 1));
  const double upstreams =
      std::clamp(std::floor(part * old_upstreams), 1.0,
                 static_cast<double>(std::max<size_t>(view.new_upstreams, 1)));
  const double share = std::min(
      parameters_.canary_load * upstreams / (upstreams + old_upstreams),
      parameters_.max_canary_share);
  const double all = SentToAll(view.totals);
  const double elapsed =
      std::max<double>(1, static_cast<double>(view.elapsed.count()));
  // Requests that were sent since the reports were made.
  const double unreported = plan_.share * all *
                            static_cast<double>(view.report_age.count()) /
                            elapsed;
  const double used = SentToNew(view.totals) + unreported;
  const double budget =
      part * all + parameters_.canary_slack_part * parameters_.exposure_slack;
  if (used >= budget) {
    share_open_ = false;
  } else if (used <= budget - parameters_.reopen_slack_part *
                                  parameters_.exposure_slack) {
    share_open_ = true;
  }
  rollout_plan next = plan_;
  next.share = share_open_ ? share : 0;
  next.canary_upstreams = static_cast<int>(upstreams);
  if (!(next == plan_)) {
    Announce(next);
  }
}

void rollout_controller::UpdateMovedRoutes(const rollout_view& view) {
  if (plan_.stage != rollout_stage::kRamp) {
    return;
  }
  const milliseconds left = plan_.order.period - view.elapsed;
  rollout_plan next = plan_;
  // The moved routes give the evidence now.
  next.share = 0;
  double all_work = 0;
  double moved_work = 0;
  for (const auto& [route, outcomes] : view.totals) {
    bool moved = std::find(next.moved_routes.begin(), next.moved_routes.end(),
                           route) != next.moved_routes.end();
    if (!moved && left <= LeadTime(route, view)) {
      next.moved_routes.push_back(route);
      moved = true;
    }
    const double work = WorkOf(route);
    all_work += work;
    moved_work += moved ? work : 0;
  }
  if (all_work > 0) {
    // As many upstreams as the old version used for these routes, so that each
    // carries the usual load.
    const double upstreams =
        std::ceil(static_cast<double>(std::max<size_t>(view.old_upstreams, 1)) *
                  moved_work / all_work);
    next.canary_upstreams =
        std::max(next.canary_upstreams, static_cast<int>(upstreams));
  }
  if (!(next == plan_)) {
    Announce(next);
  }
}

double rollout_controller::WorkOf(const std::string& route) const {
  const auto found = reference_.find(route);
  if (found == reference_.end()) {
    return 0;
  }
  const version_outcomes& old_version = found->second.old_version;
  const milliseconds median =
      duration_counts::UpperBound(old_version.ended.Quantile(0.5));
  return static_cast<double>(old_version.sent) *
         static_cast<double>(median.count());
}

milliseconds rollout_controller::MinLeadTime(const rollout_view& view) const {
  // The plan has to reach the nodes, and their reports the holder.
  return parameters_.min_drain_time + 2 * view.report_age +
         parameters_.write_margin;
}

milliseconds rollout_controller::LeadTime(const std::string& route,
                                          const rollout_view& view) const {
  milliseconds drain = parameters_.min_drain_time;
  for (const rollout_totals* totals : {&view.totals, &recent_}) {
    const auto found = totals->find(route);
    if (found == totals->end()) {
      continue;
    }
    const duration_counts& ended = found->second.old_version.ended;
    const int64_t answers = ended.Total();
    if (answers <= 0) {
      continue;
    }
    const double factor = std::min(
        parameters_.max_drain_factor,
        parameters_.drain_factor + parameters_.drain_factor_uncertainty /
                                       std::sqrt(static_cast<double>(answers)));
    const size_t bucket = ended.Quantile(parameters_.drain_quantile);
    drain = std::max(drain, Scale(duration_counts::UpperBound(bucket), factor));
  }
  return MinLeadTime(view) - parameters_.min_drain_time +
         std::min(drain, Scale(plan_.order.period, parameters_.max_drain_part));
}

}  // namespace skylarkcroft
