#include "skylarkcroft/admission/skylarkcroft_pool_admission.h"

#include <algorithm>
#include <utility>

namespace skylarkcroft {
namespace {

constexpr int64_t kMaxPreemptionsPerRequest = 2;
constexpr std::chrono::seconds kMinRetryAfter{1};
constexpr std::chrono::seconds kMaxRetryAfter{30};
// Part of the first-token target that a rank below its guaranteed share waits
// for a slot to become free before it takes one.
constexpr double kPatience = 0.05;
// Longest expected wait in first-token targets; a queue longer than this only
// makes later requests miss theirs. The least urgent rank is bound by its
// deadline alone.
constexpr std::array<std::optional<double>, kRankCount> kMaxWaitInTargets = {
    2.0, 2.0, std::nullopt};
// Part of the first-token target after which a waiting request gives way to a
// later one of its rank that can still meet it.
constexpr std::array<std::optional<double>, kRankCount> kGivesWayAfter = {
    0.8, std::nullopt, std::nullopt};
constexpr double kMinShare = 1e-6;

duration Scaled(milliseconds span, double factor) {
  return std::chrono::duration_cast<duration>(
      std::chrono::duration<double>(span) * factor);
}

duration LongestWait(const work_item& item, const rank_policy& policy,
                     time_point now) {
  const duration left = item.deadline - now;
  const std::optional<double> targets =
      kMaxWaitInTargets[IndexOf(item.work_rank)];
  return targets ? std::min(left, Scaled(policy.first_token_target, *targets))
                 : left;
}

bool GivesWay(const queued_item& entry, const rank_policy& policy,
              time_point now) {
  const std::optional<double> part =
      kGivesWayAfter[IndexOf(entry.item.work_rank)];
  return part && entry.preemptions == 0 &&
         now - entry.queued_at > Scaled(policy.first_token_target, *part);
}

}  // namespace

pool_admission::rank_state& pool_admission::StateOf(const work_item& item) {
  return ranks_[IndexOf(item.work_rank)];
}

rank_standings pool_admission::Standings(const pool_terms& terms) const {
  rank_standings standings;
  for (const rank value : kAllRanks) {
    const rank_state& state = ranks_[IndexOf(value)];
    const double share = terms.policies[IndexOf(value)].guaranteed_share;
    standings[IndexOf(value)] = {state.running, state.queue.size(),
                                 share * static_cast<double>(terms.capacity),
                                 state.served};
  }
  return standings;
}

duration pool_admission::ExpectedWait(const work_item& item,
                                      const pool_terms& terms) const {
  const caller_queue& queue = ranks_[IndexOf(item.work_rank)].queue;
  if (queue.empty() || terms.capacity == 0) {
    return duration::zero();
  }
  const double slots =
      SlotsFor(item.work_rank, Standings(terms), terms.capacity);
  // The slot that it gets has as long to go as its own tokens take.
  const double tokens =
      queue.TokensAhead(item) + static_cast<double>(item.estimated_tokens);
  return rate_.TimeFor(tokens, slots);
}

std::chrono::seconds pool_admission::RetryAfter(const work_item& item,
                                                const pool_terms& terms) const {
  const caller_queue& queue = ranks_[IndexOf(item.work_rank)].queue;
  const double slots =
      SlotsFor(item.work_rank, Standings(terms), terms.capacity);
  const duration drained =
      rate_.TimeFor(static_cast<double>(queue.tokens()), slots);
  return std::clamp(std::chrono::ceil<std::chrono::seconds>(drained),
                    kMinRetryAfter, kMaxRetryAfter);
}

std::optional<refusal> pool_admission::Submit(const work_item& item,
                                              const pool_terms& terms,
                                              time_point now) {
  const rank_policy& policy = terms.policies[IndexOf(item.work_rank)];
  if (item.deadline <= now ||
      ExpectedWait(item, terms) > LongestWait(item, policy, now)) {
    return refusal{refusal_reason::kDeadlineUnreachable,
                   RetryAfter(item, terms)};
  }
  const caller_queue& queue = StateOf(item).queue;
  if (static_cast<size_t>(queue.size()) >= terms.max_queued) {
    if (const std::optional<refusal> refused = MakeRoom(item, terms)) {
      return refused;
    }
  }
  Enqueue(item, now);
  return std::nullopt;
}

std::optional<refusal> pool_admission::MakeRoom(const work_item& item,
                                                const pool_terms& terms) {
  caller_queue& queue = StateOf(item).queue;
  const std::chrono::seconds retry_after = RetryAfter(item, terms);
  const std::string largest = queue.LargestCaller();
  if (largest.empty()) {
    return refusal{refusal_reason::kQueueFull, retry_after};
  }
  const double backlog =
      queue.BacklogOf(item.caller_name) +
      static_cast<double>(item.estimated_tokens) / item.caller_weight;
  if (largest == item.caller_name) {
    return refusal{refusal_reason::kOverShare, retry_after};
  }
  if (backlog >= queue.BacklogOf(largest)) {
    return refusal{refusal_reason::kQueueFull, retry_after};
  }
  const queued_item evicted = queue.EvictNewest(largest);
  waiting_.erase(evicted.item.request_id);
  evicted_.push_back(
      {evicted.item.request_id, {refusal_reason::kOverShare, retry_after}});
  return std::nullopt;
}

void pool_admission::Enqueue(const work_item& item, time_point now) {
  rank_state& state = StateOf(item);
  if (state.queue.empty()) {
    // Time without demand earns no credit.
    state.served = std::max(state.served, virtual_time_);
  }
  state.queue.Push({item, now, 0});
  waiting_.emplace(item.request_id, item);
}

void pool_admission::Finish(const std::string& request_id,
                            int64_t actual_tokens, time_point now) {
  const auto running = running_.find(request_id);
  if (running != running_.end()) {
    const work_item& item = running->second.entry.item;
    rank_state& state = StateOf(item);
    --state.running;
    state.queue.Correct(item, actual_tokens - item.estimated_tokens);
    if (running->second.entry.preemptions == 0) {
      rate_.Note(actual_tokens, now - running->second.started_at);
    }
    running_.erase(running);
    return;
  }
  const auto waiting = waiting_.find(request_id);
  if (waiting == waiting_.end()) {
    std::erase_if(evicted_, [&](const late_refusal& refused) {
      return refused.request_id == request_id;
    });
    return;
  }
  const work_item& item = waiting->second;
  StateOf(item).queue.Remove(item.caller_name, request_id);
  waiting_.erase(waiting);
}

void pool_admission::StartNext(rank value, const pool_terms& terms,
                               time_point now, dispatch_decision& decision) {
  rank_state& state = ranks_[IndexOf(value)];
  const rank_policy& policy = terms.policies[IndexOf(value)];
  while (!state.queue.empty()) {
    const queued_item entry = state.queue.Pop();
    waiting_.erase(entry.item.request_id);
    const bool gives_way = !state.queue.empty() && GivesWay(entry, policy, now);
    if (entry.item.deadline > now && !gives_way) {
      Start(entry, policy.guaranteed_share, now);
      decision.start.push_back(entry.item.request_id);
      return;
    }
    state.queue.Correct(entry.item, -entry.item.estimated_tokens);
    decision.refused.push_back({entry.item.request_id,
                                {refusal_reason::kDeadlineUnreachable,
                                 RetryAfter(entry.item, terms)}});
  }
}

void pool_admission::Start(const queued_item& entry, double share,
                           time_point now) {
  rank_state& state = StateOf(entry.item);
  virtual_time_ = std::max(virtual_time_, state.served);
  state.served += static_cast<double>(entry.item.estimated_tokens) /
                  std::max(kMinShare, share);
  ++state.running;
  running_.emplace(entry.item.request_id, running_item{entry, now});
}

void pool_admission::FillSlots(const pool_terms& terms, time_point now,
                               dispatch_decision& decision) {
  while (static_cast<int64_t>(running_.size()) < terms.capacity) {
    const std::optional<rank> next = NextRank(Standings(terms));
    if (!next) {
      return;
    }
    StartNext(*next, terms, now, decision);
  }
}

std::vector<preemption_candidate> pool_admission::CandidatesFor(
    rank taker, const pool_terms& terms,
    const delivered_tokens_fn& delivered_tokens) const {
  const rank_standings standings = Standings(terms);
  std::vector<preemption_candidate> candidates;
  for (const auto& [id, running] : running_) {
    const work_item& item = running.entry.item;
    if (!item.preemptible ||
        running.entry.preemptions >= kMaxPreemptionsPerRequest ||
        !MayTakeFrom(standings[IndexOf(taker)],
                     standings[IndexOf(item.work_rank)])) {
      continue;
    }
    candidates.push_back({id, item.work_rank,
                          item.prompt_tokens + delivered_tokens(id),
                          terms.policies[IndexOf(item.work_rank)].worth});
  }
  return candidates;
}

bool pool_admission::PreemptFor(rank taker, const pool_terms& terms,
                                const delivered_tokens_fn& delivered_tokens,
                                time_point now, dispatch_decision& decision) {
  const std::vector<preemption_candidate> candidates =
      CandidatesFor(taker, terms, delivered_tokens);
  const preemption_candidate* cheapest = CheapestOf(candidates);
  if (cheapest == nullptr || !limiter_.TryTake(terms.capacity, now)) {
    return false;
  }
  const auto found = running_.find(cheapest->request_id);
  queued_item entry = found->second.entry;
  running_.erase(found);
  ++entry.preemptions;
  entry.queued_at = now;
  rank_state& holder = StateOf(entry.item);
  --holder.running;
  ++holder.preempted;
  holder.queue.PutBack(entry);
  waiting_.emplace(entry.item.request_id, entry.item);
  decision.preempt.push_back(entry.item.request_id);
  return true;
}

void pool_admission::Dispatch(const pool_terms& terms,
                              const delivered_tokens_fn& delivered_tokens,
                              time_point now, dispatch_decision& decision) {
  decision.refused.insert(decision.refused.end(), evicted_.begin(),
                          evicted_.end());
  evicted_.clear();
  FillSlots(terms, now, decision);
  for (const rank taker : kAllRanks) {
    const caller_queue& queue = ranks_[IndexOf(taker)].queue;
    const duration patience =
        Scaled(terms.policies[IndexOf(taker)].first_token_target, kPatience);
    while (!queue.empty() && now - queue.Head().queued_at >= patience &&
           PreemptFor(taker, terms, delivered_tokens, now, decision)) {
      StartNext(taker, terms, now, decision);
    }
  }
  // The one that a slot was taken for may have been too late.
  FillSlots(terms, now, decision);
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
