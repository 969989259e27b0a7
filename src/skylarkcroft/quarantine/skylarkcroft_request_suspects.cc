#include "skylarkcroft/quarantine/skylarkcroft_request_suspects.h"

#include <algorithm>
#include <iterator>

namespace skylarkcroft {
namespace {

// Requests are looked through for old ones this often.
constexpr milliseconds kSweepPeriod{1000};
// Upstreams do not crash faster than this in the time that it is kept.
constexpr size_t kMaxExplained = 1024;

}  // namespace

size_t request_suspects::Add(request_key request, const suspected_crash& crash,
                             milliseconds min_repeat_gap, time_point now) {
  if (IsExplained(crash.upstream, crash.at)) {
    return 0;
  }
  std::vector<suspected_crash>& crashes = requests_[request];
  const bool counted = std::any_of(
      crashes.begin(), crashes.end(), [&](const suspected_crash& known) {
        return IsSameCrash(known, crash.upstream, crash.at) ||
               HasCommonCause(known, crash, min_repeat_gap);
      });
  if (counted) {
    return 0;
  }
  // Peers may tell crashes in another order.
  crashes.insert(
      std::upper_bound(crashes.begin(), crashes.end(), crash,
                       [](const suspected_crash& a, const suspected_crash& b) {
                         return a.at < b.at;
                       }),
      crash);
  if (now - crash.at < parameters_.same_crash) {
    recent_.push_back({crash.upstream, crash.at, request});
  }
  if (recent_.size() > parameters_.max_requests) {
    recent_.pop_front();
  }
  const size_t count = crashes.size();
  DropExcess();
  return count;
}

void request_suspects::Clear(request_key request, time_point until) {
  const auto found = requests_.find(request);
  if (found == requests_.end()) {
    return;
  }
  std::erase_if(found->second, [&](const suspected_crash& crash) {
    return crash.at <= until;
  });
  if (found->second.empty()) {
    requests_.erase(found);
  }
}

bool request_suspects::Refute(uint32_t upstream, time_point alive_at) {
  return RefuteWithin(upstream, alive_at, parameters_.confirmation);
}

void request_suspects::RefuteByPeer(uint32_t upstream, time_point told_at) {
  RefuteWithin(upstream, told_at,
               parameters_.confirmation + parameters_.telling);
}

void request_suspects::Explain(uint32_t upstream, time_point at,
                               size_t strength, time_point now) {
  for (auto entry = requests_.begin(); entry != requests_.end();) {
    std::vector<suspected_crash>& crashes = entry->second;
    if (crashes.size() < strength) {
      std::erase_if(crashes, [&](const suspected_crash& crash) {
        return IsSameCrash(crash, upstream, at);
      });
    }
    entry = crashes.empty() ? requests_.erase(entry) : std::next(entry);
  }
  const bool for_all = strength == kStrongest;
  if (for_all && now - at < parameters_.same_crash &&
      !IsExplained(upstream, at)) {
    explained_.push_back({upstream, at});
  }
  if (explained_.size() > kMaxExplained) {
    explained_.pop_front();
  }
}

void request_suspects::DropOld(time_point now) {
  while (!recent_.empty() &&
         now - recent_.front().at >= parameters_.same_crash) {
    recent_.pop_front();
  }
  while (!explained_.empty() &&
         now - explained_.front().at >= 2 * parameters_.same_crash) {
    explained_.pop_front();
  }
  if (now < next_sweep_) {
    return;
  }
  next_sweep_ = now + kSweepPeriod;
  std::erase_if(requests_, [&](const auto& entry) {
    const milliseconds max_age = entry.second.size() > 1
                                     ? parameters_.max_age
                                     : parameters_.max_age_single;
    return now - entry.second.back().at > max_age;
  });
}

std::vector<suspected_crash> request_suspects::Crashes(
    request_key request) const {
  const auto found = requests_.find(request);
  return found == requests_.end() ? std::vector<suspected_crash>{}
                                  : found->second;
}

size_t request_suspects::Count(request_key request) const {
  const auto found = requests_.find(request);
  return found == requests_.end() ? 0 : found->second.size();
}

bool request_suspects::HasCrash(request_key request,
                                const suspected_crash& crash) const {
  const auto found = requests_.find(request);
  return found != requests_.end() &&
         std::any_of(found->second.begin(), found->second.end(),
                     [&](const suspected_crash& known) {
                       return IsSameCrash(known, crash.upstream, crash.at);
                     });
}

size_t request_suspects::CertainCount(request_key request,
                                      time_point now) const {
  const auto found = requests_.find(request);
  if (found == requests_.end()) {
    return 0;
  }
  const duration delay = parameters_.confirmation + parameters_.telling;
  return static_cast<size_t>(std::count_if(
      found->second.begin(), found->second.end(),
      [&](const suspected_crash& crash) { return now - crash.at >= delay; }));
}

bool request_suspects::IsExplained(uint32_t upstream, time_point at) const {
  return std::any_of(
      explained_.begin(), explained_.end(), [&](const explained_crash& known) {
        return known.upstream == upstream &&
               std::chrono::abs(known.at - at) <= parameters_.same_crash;
      });
}

bool request_suspects::HasUnconfirmed(time_point now) const {
  return !recent_.empty() && now - recent_.back().at < parameters_.confirmation;
}

bool request_suspects::HasUnconfirmed(uint32_t upstream, time_point now) const {
  return std::any_of(recent_.begin(), recent_.end(),
                     [&](const recent_crash& crash) {
                       return crash.upstream == upstream &&
                              now - crash.at < parameters_.confirmation;
                     });
}

size_t request_suspects::MemoryBytes() const {
  // A node of the map has its element, a pointer and the hash.
  constexpr size_t kNodeBytes =
      sizeof(std::pair<const request_key, std::vector<suspected_crash>>) +
      2 * sizeof(void*);
  size_t bytes = requests_.bucket_count() * sizeof(void*) +
                 requests_.size() * kNodeBytes +
                 recent_.size() * sizeof(recent_crash) +
                 explained_.size() * sizeof(explained_crash);
  for (const auto& [request, crashes] : requests_) {
    bytes += crashes.capacity() * sizeof(suspected_crash);
  }
  return bytes;
}

bool request_suspects::IsSameCrash(const suspected_crash& crash,
                                   uint32_t upstream, time_point at) const {
  return crash.upstream == upstream &&
         std::chrono::abs(crash.at - at) <= parameters_.same_crash;
}

bool request_suspects::HasCommonCause(const suspected_crash& one,
                                      const suspected_crash& other,
                                      milliseconds min_repeat_gap) const {
  const suspected_crash& first = one.at < other.at ? one : other;
  const suspected_crash& second = one.at < other.at ? other : one;
  // A repeat that was sent because of the first crash was not there before it.
  const bool at_once = second.sent_at + parameters_.transit < first.at;
  return second.at - first.at <
         (at_once ? parameters_.min_crash_gap : min_repeat_gap);
}

bool request_suspects::IsShared(const recent_crash& crash) const {
  return std::any_of(recent_.begin(), recent_.end(),
                     [&](const recent_crash& other) {
                       return other.upstream == crash.upstream &&
                              other.request != crash.request &&
                              std::chrono::abs(other.at - crash.at) <=
                                  parameters_.broken_together;
                     });
}

bool request_suspects::RefuteWithin(uint32_t upstream, time_point alive_at,
                                    duration limit) {
  std::vector<recent_crash> refuted;
  for (const recent_crash& crash : recent_) {
    const duration silence = alive_at - crash.at;
    if (crash.upstream != upstream || silence < parameters_.transit ||
        silence >= limit || IsShared(crash)) {
      continue;
    }
    refuted.push_back(crash);
  }
  for (const recent_crash& crash : refuted) {
    Remove(crash.request, crash.upstream, crash.at);
    std::erase(recent_, crash);
  }
  return !refuted.empty();
}

void request_suspects::Remove(request_key request, uint32_t upstream,
                              time_point at) {
  const auto found = requests_.find(request);
  if (found == requests_.end()) {
    return;
  }
  std::erase_if(found->second, [&](const suspected_crash& crash) {
    return IsSameCrash(crash, upstream, at);
  });
  if (found->second.empty()) {
    requests_.erase(found);
  }
}

void request_suspects::DropExcess() {
  if (requests_.size() <= parameters_.max_requests) {
    return;
  }
  struct candidate {
    bool repeated;
    time_point at;
    request_key request;
    auto operator<=>(const candidate&) const = default;
  };
  std::vector<candidate> candidates;
  candidates.reserve(requests_.size());
  for (const auto& [request, crashes] : requests_) {
    candidates.push_back({crashes.size() > 1, crashes.back().at, request});
  }
  // Several at a time, since finding the oldest is slow.
  constexpr size_t kDroppedShare = 8;
  const auto dropped =
      candidates.begin() +
      static_cast<std::ptrdiff_t>(1 + parameters_.max_requests / kDroppedShare);
  std::nth_element(candidates.begin(), dropped, candidates.end());
  std::for_each(candidates.begin(), dropped,
                [this](const candidate& old) { requests_.erase(old.request); });
}

}  // namespace skylarkcroft
