#include "skylarkcroft/admission/skylarkcroft_caller_queue.h"

#include <algorithm>
#include <utility>

namespace skylarkcroft {
namespace {

// Callers without queued requests whose state is kept; above this number, it is
// dropped.
constexpr size_t kMaxIdleCallers = 1024;
// Requests that a caller without recent demand may have served ahead of others.
constexpr double kIdleCreditRequests = 4;
constexpr double kNewestSampleWeight = 0.01;
constexpr double kMinWeight = 1e-6;

}  // namespace

double caller_queue::MinStartTag() const {
  return virtual_time_ - kIdleCreditRequests * mean_request_tokens_;
}

caller_queue::caller_state& caller_queue::Activate(const work_item& item) {
  caller_state& state = callers_[item.caller_name];
  state.weight = std::max(kMinWeight, item.caller_weight);
  if (state.waiting.empty()) {
    // A caller without recent demand gets a bounded credit, so that a caller
    // with few requests does not wait a full round behind callers that always
    // have requests queued.
    state.start_tag = std::max(state.start_tag, MinStartTag());
    state.activation = ++activations_;
  }
  return state;
}

void caller_queue::RemoveFromIndexes(const std::string& name,
                                     const caller_state& state) {
  if (state.waiting.empty()) {
    return;
  }
  by_start_tag_.erase({state.start_tag, state.activation, name});
  by_backlog_.erase(
      {static_cast<double>(state.tokens) / state.weight, 0, name});
}

void caller_queue::AddToIndexes(const std::string& name,
                                const caller_state& state) {
  if (state.waiting.empty()) {
    return;
  }
  by_start_tag_.insert({state.start_tag, state.activation, name});
  by_backlog_.insert(
      {static_cast<double>(state.tokens) / state.weight, 0, name});
}

void caller_queue::Add(const waiting_item& added, bool at_front) {
  const work_item& item = added.entry.item;
  const auto found = callers_.find(item.caller_name);
  if (found != callers_.end()) {
    RemoveFromIndexes(found->first, found->second);
  }
  caller_state& state = Activate(item);
  if (at_front) {
    state.waiting.push_front(added);
  } else {
    state.waiting.push_back(added);
  }
  state.tokens += item.estimated_tokens;
  tokens_ += item.estimated_tokens;
  ++size_;
  AddToIndexes(item.caller_name, state);
}

void caller_queue::Push(const queued_item& entry) {
  const auto tokens = static_cast<double>(entry.item.estimated_tokens);
  mean_request_tokens_ =
      mean_request_tokens_ == 0
          ? tokens
          : mean_request_tokens_ +
                kNewestSampleWeight * (tokens - mean_request_tokens_);
  Add({entry, false}, false);
  if (callers_.size() > by_start_tag_.size() + kMaxIdleCallers) {
    ForgetIdleCallers();
  }
}

void caller_queue::Requeue(const queued_item& entry) {
  Add({entry, true}, true);
}

const queued_item& caller_queue::Head() const {
  return callers_.at(by_start_tag_.begin()->name).waiting.front().entry;
}

queued_item caller_queue::RemoveAt(const std::string& name, size_t position) {
  caller_state& state = callers_.at(name);
  RemoveFromIndexes(name, state);
  const auto item_it = state.waiting.begin() + static_cast<int64_t>(position);
  queued_item removed = std::move(item_it->entry);
  state.waiting.erase(item_it);
  state.tokens -= removed.item.estimated_tokens;
  tokens_ -= removed.item.estimated_tokens;
  --size_;
  AddToIndexes(name, state);
  return removed;
}

queued_item caller_queue::Pop() {
  const std::string name = by_start_tag_.begin()->name;
  caller_state& state = callers_.at(name);
  const bool charged = state.waiting.front().charged;
  virtual_time_ = std::max(virtual_time_, state.start_tag);
  queued_item removed = RemoveAt(name, 0);
  if (!charged) {
    AdjustCharge(removed.item, removed.item.estimated_tokens);
  }
  return removed;
}

std::optional<queued_item> caller_queue::Remove(const std::string& caller_name,
                                                const std::string& request_id) {
  const auto found = callers_.find(caller_name);
  if (found == callers_.end()) {
    return std::nullopt;
  }
  const std::deque<waiting_item>& waiting = found->second.waiting;
  const auto item_it =
      std::find_if(waiting.begin(), waiting.end(), [&](const auto& candidate) {
        return candidate.entry.item.request_id == request_id;
      });
  if (item_it == waiting.end()) {
    return std::nullopt;
  }
  return RemoveAt(caller_name, static_cast<size_t>(item_it - waiting.begin()));
}

std::string caller_queue::CallerWithLargestBacklog() const {
  return by_backlog_.empty() ? "" : by_backlog_.rbegin()->name;
}

double caller_queue::BacklogOf(const std::string& caller_name) const {
  const auto found = callers_.find(caller_name);
  if (found == callers_.end()) {
    return 0;
  }
  return static_cast<double>(found->second.tokens) / found->second.weight;
}

queued_item caller_queue::EvictNewest(const std::string& caller_name) {
  return RemoveAt(caller_name, callers_.at(caller_name).waiting.size() - 1);
}

double caller_queue::TokensAhead(const work_item& item) const {
  double tag = MinStartTag();
  const auto found = callers_.find(item.caller_name);
  if (found != callers_.end()) {
    tag = std::max(tag, found->second.start_tag + BacklogOf(item.caller_name));
  }
  double ahead = 0;
  for (const indexed_caller& other : by_start_tag_) {
    if (other.key > tag) {
      break;
    }
    const caller_state& state = callers_.at(other.name);
    const work_item& next = state.waiting.front().entry.item;
    const double tokens_before = (tag - other.key) * state.weight +
                                 static_cast<double>(next.estimated_tokens);
    ahead += std::min(tokens_before, static_cast<double>(state.tokens));
  }
  return ahead;
}

void caller_queue::AdjustCharge(const work_item& item, int64_t tokens) {
  const auto found = callers_.find(item.caller_name);
  if (found == callers_.end()) {
    return;
  }
  caller_state& state = found->second;
  RemoveFromIndexes(found->first, state);
  state.start_tag += static_cast<double>(tokens) / state.weight;
  AddToIndexes(found->first, state);
}

void caller_queue::SettleCharge(const queued_item& ended) {
  AdjustCharge(ended.item, ended.used_tokens - ended.item.estimated_tokens);
}

void caller_queue::ForgetIdleCallers() {
  std::erase_if(callers_, [this](const auto& entry) {
    return entry.second.waiting.empty() &&
           entry.second.start_tag <= virtual_time_;
  });
}

}  // namespace skylarkcroft
