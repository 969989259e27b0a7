#include "skylarkcroft/admission/skylarkcroft_caller_queue.h"

#include <algorithm>
#include <utility>

namespace skylarkcroft {
namespace {

// Callers remembered without waiting work before idle ones are forgotten.
constexpr size_t kMaxIdleCallers = 1024;
// Requests that a caller without recent demand may have served ahead of others.
constexpr double kCreditRequests = 4;
constexpr double kNewestWeight = 0.01;
constexpr double kMinWeight = 1e-6;

}  // namespace

double caller_queue::EarliestTag() const {
  return virtual_time_ - kCreditRequests * mean_tokens_;
}

caller_queue::caller_state& caller_queue::Enter(const work_item& item) {
  caller_state& state = callers_[item.caller_name];
  state.weight = std::max(kMinWeight, item.caller_weight);
  if (state.waiting.empty()) {
    // Time without demand earns a bounded credit, so that a caller that seldom
    // asks does not wait for a round of those that always do.
    state.start_tag = std::max(state.start_tag, EarliestTag());
    state.entered = ++entries_;
  }
  return state;
}

void caller_queue::Unlink(const std::string& name, const caller_state& state) {
  if (state.waiting.empty()) {
    return;
  }
  by_start_.erase({state.start_tag, state.entered, name});
  by_backlog_.erase(
      {static_cast<double>(state.tokens) / state.weight, 0, name});
}

void caller_queue::Link(const std::string& name, const caller_state& state) {
  if (state.waiting.empty()) {
    return;
  }
  by_start_.insert({state.start_tag, state.entered, name});
  by_backlog_.insert(
      {static_cast<double>(state.tokens) / state.weight, 0, name});
}

void caller_queue::Add(const waiting_item& added, bool in_front) {
  const work_item& item = added.entry.item;
  const auto found = callers_.find(item.caller_name);
  if (found != callers_.end()) {
    Unlink(found->first, found->second);
  }
  caller_state& state = Enter(item);
  if (in_front) {
    state.waiting.push_front(added);
  } else {
    state.waiting.push_back(added);
  }
  state.tokens += item.estimated_tokens;
  tokens_ += item.estimated_tokens;
  ++size_;
  Link(item.caller_name, state);
}

void caller_queue::Push(const queued_item& entry) {
  const auto tokens = static_cast<double>(entry.item.estimated_tokens);
  mean_tokens_ = mean_tokens_ == 0
                     ? tokens
                     : mean_tokens_ + kNewestWeight * (tokens - mean_tokens_);
  Add({entry, false}, false);
  if (callers_.size() > by_start_.size() + kMaxIdleCallers) {
    ForgetIdle();
  }
}

void caller_queue::PutBack(const queued_item& entry) {
  Add({entry, true}, true);
}

const queued_item& caller_queue::Head() const {
  return callers_.at(by_start_.begin()->name).waiting.front().entry;
}

queued_item caller_queue::TakeAt(const std::string& name, size_t position) {
  caller_state& state = callers_.at(name);
  Unlink(name, state);
  const auto place = state.waiting.begin() + static_cast<int64_t>(position);
  queued_item taken = std::move(place->entry);
  state.waiting.erase(place);
  state.tokens -= taken.item.estimated_tokens;
  tokens_ -= taken.item.estimated_tokens;
  --size_;
  Link(name, state);
  return taken;
}

queued_item caller_queue::Pop() {
  const std::string name = by_start_.begin()->name;
  caller_state& state = callers_.at(name);
  const bool charged = state.waiting.front().charged;
  virtual_time_ = std::max(virtual_time_, state.start_tag);
  queued_item taken = TakeAt(name, 0);
  if (!charged) {
    Correct(taken.item, taken.item.estimated_tokens);
  }
  return taken;
}

std::optional<queued_item> caller_queue::Remove(const std::string& caller_name,
                                                const std::string& request_id) {
  const auto found = callers_.find(caller_name);
  if (found == callers_.end()) {
    return std::nullopt;
  }
  const std::deque<waiting_item>& waiting = found->second.waiting;
  const auto place = std::find_if(
      waiting.begin(), waiting.end(),
      [&](const auto& one) { return one.entry.item.request_id == request_id; });
  if (place == waiting.end()) {
    return std::nullopt;
  }
  return TakeAt(caller_name, static_cast<size_t>(place - waiting.begin()));
}

std::string caller_queue::LargestCaller() const {
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
  return TakeAt(caller_name, callers_.at(caller_name).waiting.size() - 1);
}

double caller_queue::TokensAhead(const work_item& item) const {
  double tag = EarliestTag();
  const auto found = callers_.find(item.caller_name);
  if (found != callers_.end()) {
    tag = std::max(tag, found->second.start_tag + BacklogOf(item.caller_name));
  }
  double ahead = 0;
  for (const ordered_caller& other : by_start_) {
    if (other.key > tag) {
      break;
    }
    const caller_state& state = callers_.at(other.name);
    const work_item& next = state.waiting.front().entry.item;
    const double before = (tag - other.key) * state.weight +
                          static_cast<double>(next.estimated_tokens);
    ahead += std::min(before, static_cast<double>(state.tokens));
  }
  return ahead;
}

void caller_queue::Correct(const work_item& item, int64_t tokens) {
  const auto found = callers_.find(item.caller_name);
  if (found == callers_.end()) {
    return;
  }
  caller_state& state = found->second;
  Unlink(found->first, state);
  state.start_tag += static_cast<double>(tokens) / state.weight;
  Link(found->first, state);
}

void caller_queue::ForgetIdle() {
  std::erase_if(callers_, [this](const auto& entry) {
    return entry.second.waiting.empty() &&
           entry.second.start_tag <= virtual_time_;
  });
}

}  // namespace skylarkcroft
