#include "skylarkcroft/admission/skylarkcroft_pool_admission.h"

#include <algorithm>
#include <utility>

namespace skylarkcroft {
namespace {

constexpr int64_t kMaxPreemptionsPerRequest = 2;
constexpr std::chrono::seconds kMinRetryAfter{1};
constexpr std::chrono::seconds kMaxRetryAfter{30};
// Time for which a rank below its guaranteed share waits for a free slot before
// it preempts, as a fraction of its first-token target.
constexpr double kPreemptionDelayInTargets = 0.05;
// Longest expected wait in multiples of the first-token target; with a longer
// queue, later requests only miss their targets. The least urgent rank is
// limited by its deadlines alone.
constexpr std::array<std::optional<double>, kRankCount> kMaxWaitInTargets = {
    2.0, 2.0, std::nullopt};
// Waiting time in multiples of the first-token target after which a queued
// request is rejected in favor of a later one of its rank that can still meet
// the target.
constexpr std::array<std::optional<double>, kRankCount> kShedAfterInTargets = {
    0.8, std::nullopt, std::nullopt};
constexpr double kMinShare = 1e-6;

duration Scaled(milliseconds time, double factor) {
  return std::chrono::duration_cast<duration>(
      std::chrono::duration<double>(time) * factor);
}

duration MaxWait(const work_item& item, const rank_policy& policy,
                 time_point now) {
  const duration remaining = item.deadline - now;
  const std::optional<double> targets =
      kMaxWaitInTargets[IndexOf(item.work_rank)];
  return targets
             ? std::min(remaining, Scaled(policy.first_token_target, *targets))
             : remaining;
}

bool ShouldShed(const queued_item& entry, const rank_policy& policy,
                time_point now) {
  const std::optional<double> shed_after =
      kShedAfterInTargets[IndexOf(entry.item.work_rank)];
  return shed_after && entry.preemptions == 0 &&
         now - entry.queued_at > Scaled(policy.first_token_target, *shed_after);
}

}  // namespace

pool_admission::rank_state& pool_admission::RankStateOf(const work_item& item) {
  return ranks_[IndexOf(item.work_rank)];
}

rank_loads pool_admission::RankLoads(const pool_limits& limits) const {
  rank_loads loads;
  for (const rank value : kAllRanks) {
    const rank_state& state = ranks_[IndexOf(value)];
    const double share = limits.policies[IndexOf(value)].guaranteed_share;
    loads[IndexOf(value)] = {state.running, state.queue.size(),
                             share * static_cast<double>(limits.capacity),
                             state.served_tokens_per_share};
  }
  return loads;
}

duration pool_admission::ExpectedWait(const work_item& item,
                                      const pool_limits& limits) const {
  const caller_queue& queue = ranks_[IndexOf(item.work_rank)].queue;
  if (queue.empty() || limits.capacity == 0) {
    return duration::zero();
  }
  const double slots =
      SlotsAvailableTo(item.work_rank, RankLoads(limits), limits.capacity);
  // Assumes that the slot which becomes free for the request is busy for as
  // long as its own tokens take.
  const double tokens =
      queue.TokensAhead(item) + static_cast<double>(item.estimated_tokens);
  return throughput_.EstimateTime(tokens, slots);
}

std::chrono::seconds pool_admission::RetryAfter(
    const work_item& item, const pool_limits& limits) const {
  const caller_queue& queue = ranks_[IndexOf(item.work_rank)].queue;
  const double slots =
      SlotsAvailableTo(item.work_rank, RankLoads(limits), limits.capacity);
  const duration drain_time =
      throughput_.EstimateTime(static_cast<double>(queue.tokens()), slots);
  return std::clamp(std::chrono::ceil<std::chrono::seconds>(drain_time),
                    kMinRetryAfter, kMaxRetryAfter);
}

std::optional<rejection> pool_admission::Submit(const work_item& item,
                                                const pool_limits& limits,
                                                time_point now) {
  const rank_policy& policy = limits.policies[IndexOf(item.work_rank)];
  if (item.deadline <= now ||
      ExpectedWait(item, limits) > MaxWait(item, policy, now)) {
    return rejection{refusal_reason::kDeadlineUnreachable,
                     RetryAfter(item, limits)};
  }
  const caller_queue& queue = RankStateOf(item).queue;
  if (static_cast<size_t>(queue.size()) >= limits.max_queued) {
    if (const std::optional<rejection> rejected = MakeRoom(item, limits)) {
      return rejected;
    }
  }
  Enqueue(item, now);
  return std::nullopt;
}

std::optional<rejection> pool_admission::MakeRoom(const work_item& item,
                                                  const pool_limits& limits) {
  caller_queue& queue = RankStateOf(item).queue;
  const std::chrono::seconds retry_after = RetryAfter(item, limits);
  const std::string largest_caller = queue.CallerWithLargestBacklog();
  if (largest_caller.empty()) {
    return rejection{refusal_reason::kQueueFull, retry_after};
  }
  const double backlog =
      queue.BacklogOf(item.caller_name) +
      static_cast<double>(item.estimated_tokens) / item.caller_weight;
  if (largest_caller == item.caller_name) {
    return rejection{refusal_reason::kOverShare, retry_after};
  }
  if (backlog >= queue.BacklogOf(largest_caller)) {
    return rejection{refusal_reason::kQueueFull, retry_after};
  }
  const queued_item evicted = queue.EvictNewest(largest_caller);
  if (evicted.preemptions > 0) {
    queue.SettleCharge(evicted);
  }
  waiting_.erase(evicted.item.request_id);
  evicted_.push_back(
      {evicted.item.request_id, {refusal_reason::kOverShare, retry_after}});
  return std::nullopt;
}

void pool_admission::Enqueue(const work_item& item, time_point now) {
  rank_state& state = RankStateOf(item);
  if (state.queue.empty()) {
    // A rank earns no credit while it has no requests.
    state.served_tokens_per_share =
        std::max(state.served_tokens_per_share, virtual_time_);
  }
  state.queue.Push({item, now, 0});
  waiting_.emplace(item.request_id, item);
}

void pool_admission::Finish(const std::string& request_id,
                            int64_t actual_tokens, time_point now) {
  const auto running = running_.find(request_id);
  if (running != running_.end()) {
    const work_item& item = running->second.entry.item;
    rank_state& state = RankStateOf(item);
    --state.running;
    state.queue.AdjustCharge(item, actual_tokens - item.estimated_tokens);
    if (running->second.entry.preemptions == 0) {
      throughput_.Record(actual_tokens, now - running->second.started_at);
    }
    running_.erase(running);
    return;
  }
  const auto waiting = waiting_.find(request_id);
  if (waiting == waiting_.end()) {
    std::erase_if(evicted_, [&](const rejected_request& rejected) {
      return rejected.request_id == request_id;
    });
    return;
  }
  const work_item& item = waiting->second;
  caller_queue& queue = RankStateOf(item).queue;
  const std::optional<queued_item> removed =
      queue.Remove(item.caller_name, request_id);
  if (removed.has_value() && removed->preemptions > 0) {
    queue.SettleCharge(*removed);
  }
  waiting_.erase(waiting);
}

void pool_admission::StartNext(rank value, const pool_limits& limits,
                               time_point now, dispatch_decision& decision) {
  rank_state& state = ranks_[IndexOf(value)];
  const rank_policy& policy = limits.policies[IndexOf(value)];
  while (!state.queue.empty()) {
    const queued_item entry = state.queue.Pop();
    waiting_.erase(entry.item.request_id);
    const bool shed = !state.queue.empty() && ShouldShed(entry, policy, now);
    if (entry.item.deadline > now && !shed) {
      Start(entry, policy.guaranteed_share, now);
      decision.start.push_back(entry.item.request_id);
      return;
    }
    state.queue.SettleCharge(entry);
    decision.rejected.push_back({entry.item.request_id,
                                 {refusal_reason::kDeadlineUnreachable,
                                  RetryAfter(entry.item, limits)}});
  }
}

void pool_admission::Start(const queued_item& entry, double share,
                           time_point now) {
  rank_state& state = RankStateOf(entry.item);
  virtual_time_ = std::max(virtual_time_, state.served_tokens_per_share);
  state.served_tokens_per_share +=
      static_cast<double>(entry.item.estimated_tokens) /
      std::max(kMinShare, share);
  ++state.running;
  running_.emplace(entry.item.request_id, running_item{entry, now});
}

void pool_admission::FillSlots(const pool_limits& limits, time_point now,
                               dispatch_decision& decision) {
  while (static_cast<int64_t>(running_.size()) < limits.capacity) {
    const std::optional<rank> next = NextRank(RankLoads(limits));
    if (!next) {
      return;
    }
    StartNext(*next, limits, now, decision);
  }
}

std::vector<preemption_candidate> pool_admission::PreemptionCandidates(
    rank preemptor, const pool_limits& limits,
    const delivered_tokens_fn& delivered_tokens) const {
  const rank_loads loads = RankLoads(limits);
  std::vector<preemption_candidate> candidates;
  for (const auto& [id, running] : running_) {
    const work_item& item = running.entry.item;
    if (!item.preemptible ||
        running.entry.preemptions >= kMaxPreemptionsPerRequest ||
        !CanPreempt(loads[IndexOf(preemptor)],
                    loads[IndexOf(item.work_rank)])) {
      continue;
    }
    candidates.push_back({id, item.work_rank,
                          item.prompt_tokens + delivered_tokens(id),
                          limits.policies[IndexOf(item.work_rank)].worth});
  }
  return candidates;
}

bool pool_admission::PreemptFor(rank preemptor, const pool_limits& limits,
                                const delivered_tokens_fn& delivered_tokens,
                                time_point now, dispatch_decision& decision) {
  const std::vector<preemption_candidate> candidates =
      PreemptionCandidates(preemptor, limits, delivered_tokens);
  const preemption_candidate* cheapest = CheapestCandidate(candidates);
  if (cheapest == nullptr ||
      !preemption_limiter_.TryAcquire(limits.capacity, now)) {
    return false;
  }
  const auto found = running_.find(cheapest->request_id);
  queued_item entry = found->second.entry;
  running_.erase(found);
  ++entry.preemptions;
  entry.used_tokens += cheapest->lost_tokens;
  entry.queued_at = now;
  rank_state& victim = RankStateOf(entry.item);
  --victim.running;
  ++victim.preempted;
  victim.queue.Requeue(entry);
  waiting_.emplace(entry.item.request_id, entry.item);
  decision.preempt.push_back(entry.item.request_id);
  return true;
}

void pool_admission::Dispatch(const pool_limits& limits,
                              const delivered_tokens_fn& delivered_tokens,
                              time_point now, dispatch_decision& decision) {
  decision.rejected.insert(decision.rejected.end(), evicted_.begin(),
                           evicted_.end());
  evicted_.clear();
  FillSlots(limits, now, decision);
  for (const rank preemptor : kAllRanks) {
    const caller_queue& queue = ranks_[IndexOf(preemptor)].queue;
    const duration preemption_delay =
        Scaled(limits.policies[IndexOf(preemptor)].first_token_target,
               kPreemptionDelayInTargets);
    while (!queue.empty() && now - queue.Head().queued_at >= preemption_delay &&
           PreemptFor(preemptor, limits, delivered_tokens, now, decision)) {
      StartNext(preemptor, limits, now, decision);
    }
  }
  // The request that a slot was taken for may have been rejected because it was
  // too late.
  FillSlots(limits, now, decision);
}

pool_counts pool_admission::Counts() const {
  pool_counts counts;
  for (const rank value : kAllRanks) {
    const rank_state& state = ranks_[IndexOf(value)];
    counts.ranks[IndexOf(value)] = {state.running, state.queue.size(),
                                    state.preempted};
  }
  return counts;
}

}  // namespace skylarkcroft
