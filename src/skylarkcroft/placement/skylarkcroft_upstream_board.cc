#include "skylarkcroft/placement/skylarkcroft_upstream_board.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace skylarkcroft {
namespace {

constexpr size_t kMostPartsPerUpstream = 2000;
// Engines drop the least recently used parts; older uses say little.
constexpr milliseconds kPartLife{20000};
// Preference for the own zone, as a share of one plain request in progress.
constexpr double kOtherZonePenalty = 0.1;
constexpr double kAvoidedPenalty = 1e6;
constexpr double kTriedPenalty = 1e7;
constexpr double kFullPenalty = 1e5;
// A plain service's request in progress, in the scale of milliseconds.
constexpr double kPlainRequestMs = 100;

uint64_t HomeWeight(const std::string& key, const std::string& id) {
  return XXH3_64bits_withSeed(id.data(), id.size(),
                              XXH3_64bits(key.data(), key.size()));
}

void AddLoad(const upstream_load& part, upstream_load& sum) {
  sum.running += part.running;
  sum.memory_tokens += part.memory_tokens;
  for (size_t i = 0; i < part.unread_tokens.size(); ++i) {
    sum.unread_tokens[i] += part.unread_tokens[i];
  }
}

// Tokens that are read before those of a new request of `urgency`.
int64_t TokensAhead(const upstream_load& load, int urgency) {
  int64_t ahead = 0;
  for (int i = 0; i <= urgency; ++i) {
    ahead += load.unread_tokens[static_cast<size_t>(i)];
  }
  return ahead;
}

}  // namespace

uint32_t UpstreamKey(const std::string& id) {
  constexpr uint64_t kSeed = 0;
  return XXH32(id.data(), id.size(), kSeed);
}

upstream_board::upstream_board(const board_terms& terms) : terms_(terms) {}

void upstream_board::Reset(const std::vector<upstream_entry>& entries,
                           time_point now) {
  std::vector<std::string> missing;
  for (const auto& [id, one] : upstreams_) {
    const bool listed =
        std::any_of(entries.begin(), entries.end(),
                    [&id = id](const upstream_entry& e) { return e.id == id; });
    if (!listed) {
      missing.push_back(id);
    }
  }
  for (const std::string& id : missing) {
    Remove(id, now);
  }
  for (const upstream_entry& entry : entries) {
    Put(entry, now);
  }
}

void upstream_board::Put(const upstream_entry& entry, time_point now) {
  const auto found = upstreams_.find(entry.id);
  const bool same_process =
      found != upstreams_.end() &&
      found->second.entry.incarnation == entry.incarnation &&
      found->second.entry.address == entry.address;
  if (!same_process) {
    state fresh;
    fresh.last_byte = now;
    if (found != upstreams_.end()) {
      // Requests at the former process still end one by one.
      fresh.own = found->second.own;
    }
    upstreams_.insert_or_assign(entry.id, std::move(fresh));
  }
  state& one = upstreams_.at(entry.id);
  one.entry = entry;
  one.key = UpstreamKey(entry.id);
  one.lapsed_at.reset();
}

void upstream_board::Remove(const std::string& id, time_point now) {
  const auto found = upstreams_.find(id);
  if (found == upstreams_.end()) {
    return;
  }
  const bool after_outage =
      !store_reachable_ || (store_back_at_.has_value() &&
                            now - *store_back_at_ < terms_.lapse_grace);
  if (!after_outage || found->second.entry.leaving) {
    upstreams_.erase(found);
    return;
  }
  if (!found->second.lapsed_at.has_value()) {
    found->second.lapsed_at = now;
  }
}

void upstream_board::NoteStoreContact(bool reachable, time_point now) {
  if (reachable && !store_reachable_ && !upstreams_.empty()) {
    store_back_at_ = now;
  }
  store_reachable_ = reachable;
}

std::vector<std::string> upstream_board::DropLapsed(time_point now) {
  std::vector<std::string> dropped;
  for (const auto& [id, one] : upstreams_) {
    if (one.lapsed_at.has_value() &&
        now - *one.lapsed_at >= terms_.lapse_grace) {
      dropped.push_back(id);
    }
  }
  for (const std::string& id : dropped) {
    upstreams_.erase(id);
  }
  return dropped;
}

const upstream_entry* upstream_board::Find(const std::string& id) const {
  const auto found = upstreams_.find(id);
  return found == upstreams_.end() ? nullptr : &found->second.entry;
}

bool upstream_board::IsUsable(const state& one) const {
  return !one.entry.leaving;
}

size_t upstream_board::Usable(const std::string& service) const {
  return static_cast<size_t>(
      std::count_if(upstreams_.begin(), upstreams_.end(), [&](const auto& e) {
        return e.second.entry.service == service && IsUsable(e.second);
      }));
}

std::vector<upstream_entry> upstream_board::Entries() const {
  std::vector<upstream_entry> entries;
  entries.reserve(upstreams_.size());
  for (const auto& [id, one] : upstreams_) {
    entries.push_back(one.entry);
  }
  return entries;
}

upstream_board::summed upstream_board::Sum(const state& one,
                                           time_point now) const {
  summed all{one.own, one.belief.Sums(now), milliseconds(0)};
  for (const auto& [name, peer] : peers_) {
    const milliseconds age =
        std::chrono::duration_cast<milliseconds>(now - peer.heard);
    if (age > terms_.peer_load_life) {
      continue;
    }
    const auto view = peer.views.find(one.key);
    if (view == peer.views.end()) {
      continue;
    }
    AddLoad(view->second.load, all.load);
    all.outcomes.good += view->second.outcomes.good;
    all.outcomes.bad += view->second.outcomes.bad;
    all.peer_age = std::max(all.peer_age, age);
  }
  return all;
}

upstream_board::surroundings upstream_board::Survey(
    const placement_request& request, time_point now) const {
  surroundings around;
  std::vector<double> shares;
  size_t reclaimable = 0;
  for (const auto& [id, one] : upstreams_) {
    if (one.entry.service != request.service || !IsUsable(one)) {
      continue;
    }
    ++around.usable;
    reclaimable += one.entry.reclaimable ? 1 : 0;
    shares.push_back(FailureShare(Sum(one, now).outcomes));
  }
  if (!shares.empty()) {
    // The median, so that a few failing upstreams do not raise it.
    const auto middle =
        shares.begin() + static_cast<std::ptrdiff_t>((shares.size() - 1) / 2);
    std::nth_element(shares.begin(), middle, shares.end());
    around.failure_share = *middle;
  }
  around.avoid_full_price = 2 * reclaimable >= around.usable;
  const std::string key = request.shape.AffinityKey();
  if (key.empty()) {
    return around;
  }
  uint64_t best = 0;
  for (const auto& [id, one] : upstreams_) {
    const bool taken = one.entry.service == request.service && IsUsable(one);
    if (!taken || (around.avoid_full_price && !one.entry.reclaimable)) {
      continue;
    }
    const uint64_t weight = HomeWeight(key, id);
    if (around.home == nullptr || weight > best) {
      around.home = &one;
      best = weight;
    }
  }
  return around;
}

bool upstream_board::IsSampled(const state& one,
                               const placement_request& request,
                               const surroundings& around) const {
  if (&one == around.home ||
      static_cast<double>(around.usable) <= terms_.sample) {
    return true;
  }
  constexpr double kRange = 4294967296.0;
  const uint64_t draw =
      XXH3_64bits_withSeed(&one.key, sizeof one.key, request.sample_seed) &
      UINT32_MAX;
  return static_cast<double>(draw) / kRange <
         terms_.sample / static_cast<double>(around.usable);
}

placement upstream_board::Estimate(const state& one, const summed& all,
                                   const placement_request& request,
                                   bool home) const {
  placement made;
  made.upstream = one.entry;
  made.running = all.load.running;
  made.unread_tokens = TokensAhead(all.load, request.urgency);
  made.peer_age = all.peer_age;
  made.parts_cached = home || one.parts.contains(request.shape.AffinityKey());
  made.work.urgency = request.urgency;
  made.work.memory_tokens = request.shape.TotalTokens();
  made.work.unread_tokens =
      request.shape.prompt_tokens -
      (made.parts_cached ? request.shape.SharedTokens() : 0);
  made.work.unread_tokens = std::max<int64_t>(made.work.unread_tokens, 0);
  const double reading =
      static_cast<double>(made.unread_tokens + made.work.unread_tokens) /
      terms_.read_tokens_per_ms;
  made.expected_first =
      request.cache_tokens == 0
          ? milliseconds(0)
          : terms_.first_token +
                milliseconds(static_cast<milliseconds::rep>(reading));
  const int slots = std::max(one.entry.slots, 1);
  const double planned =
      static_cast<double>(all.load.memory_tokens + made.work.memory_tokens);
  const bool memory_full =
      request.cache_tokens > 0 &&
      planned > terms_.memory_share * static_cast<double>(request.cache_tokens);
  made.full = all.load.running >= slots || memory_full;
  return made;
}

double upstream_board::Penalty(const state& one, const summed& all,
                               const placement& estimate,
                               const placement_request& request,
                               const surroundings& around,
                               time_point now) const {
  const double excess = FailureShare(all.outcomes) - around.failure_share -
                        terms_.failure_tolerance;
  double penalty = terms_.failure_ms * std::max(0.0, excess);
  if (around.avoid_full_price && !one.entry.reclaimable) {
    penalty += terms_.full_price_ms;
  }
  if (one.belief.IsAvoided(now)) {
    penalty += kAvoidedPenalty;
  }
  if (std::find(request.tried.begin(), request.tried.end(), one.entry.id) !=
      request.tried.end()) {
    penalty += kTriedPenalty;
  }
  const bool other_zone =
      one.entry.availability_zone != request.availability_zone;
  if (request.cache_tokens == 0) {
    const double busy =
        static_cast<double>(all.load.running) / std::max(one.entry.slots, 1);
    return penalty +
           kPlainRequestMs * (busy + (other_zone ? kOtherZonePenalty : 0));
  }
  penalty += static_cast<double>(estimate.expected_first.count());
  penalty += terms_.ms_per_running * estimate.running;
  if (!estimate.parts_cached) {
    penalty += (terms_.reread_weight - 1) *
               static_cast<double>(request.shape.SharedTokens()) /
               terms_.read_tokens_per_ms;
  }
  return penalty + (estimate.full ? kFullPenalty : 0);
}

std::optional<placement> upstream_board::Choose(
    const placement_request& request, time_point now) const {
  const surroundings around = Survey(request, now);
  std::optional<placement> best = ChooseAmong(request, around, true, now);
  if (!best.has_value() || best->full) {
    best = ChooseAmong(request, around, false, now);
  }
  if (best.has_value()) {
    best->candidates = around.usable;
  }
  return best;
}

std::optional<placement> upstream_board::ChooseAmong(
    const placement_request& request, const surroundings& around, bool sampled,
    time_point now) const {
  std::optional<placement> best;
  double least = 0;
  for (const auto& [id, one] : upstreams_) {
    if (one.entry.service != request.service || !IsUsable(one) ||
        (sampled && !IsSampled(one, request, around))) {
      continue;
    }
    const summed all = Sum(one, now);
    const placement estimate = Estimate(one, all, request, &one == around.home);
    const double penalty = Penalty(one, all, estimate, request, around, now);
    if (!best.has_value() || penalty < least) {
      best = estimate;
      least = penalty;
    }
  }
  return best;
}

void upstream_board::NoteSent(const std::string& id, const work_size& work,
                              const generation_shape& shape, time_point now) {
  const auto found = upstreams_.find(id);
  if (found == upstreams_.end()) {
    return;
  }
  state& one = found->second;
  if (one.own.running == 0) {
    one.last_byte = now;
  }
  ++one.own.running;
  one.own.memory_tokens += work.memory_tokens;
  one.own.unread_tokens[static_cast<size_t>(work.urgency)] +=
      work.unread_tokens;
  const std::string key = shape.AffinityKey();
  if (key.empty()) {
    return;
  }
  if (one.parts.size() >= kMostPartsPerUpstream) {
    std::erase_if(one.parts, [now](const auto& part) {
      return now - part.second > kPartLife;
    });
  }
  one.parts[key] = now;
}

void upstream_board::NoteBegun(const std::string& id, const work_size& work,
                               time_point now) {
  const auto found = upstreams_.find(id);
  if (found == upstreams_.end()) {
    return;
  }
  int64_t& unread =
      found->second.own.unread_tokens[static_cast<size_t>(work.urgency)];
  unread = std::max<int64_t>(0, unread - work.unread_tokens);
  found->second.last_byte = now;
}

void upstream_board::NoteEnded(const std::string& id, const work_size& work,
                               bool begun, upstream_outcome outcome,
                               time_point now) {
  const auto found = upstreams_.find(id);
  if (found == upstreams_.end()) {
    return;
  }
  state& one = found->second;
  if (!begun) {
    const time_point last_byte = one.last_byte;
    NoteBegun(id, work, now);
    one.last_byte = last_byte;
  }
  one.own.running = std::max(0, one.own.running - 1);
  one.own.memory_tokens =
      std::max<int64_t>(0, one.own.memory_tokens - work.memory_tokens);
  one.belief.Note(outcome, now);
}

void upstream_board::NoteByte(const std::string& id, time_point now) {
  const auto found = upstreams_.find(id);
  if (found != upstreams_.end()) {
    found->second.last_byte = now;
  }
}

milliseconds upstream_board::Silence(const std::string& id,
                                     time_point now) const {
  const auto found = upstreams_.find(id);
  if (found == upstreams_.end()) {
    return milliseconds::max();
  }
  return std::chrono::duration_cast<milliseconds>(now -
                                                  found->second.last_byte);
}

void upstream_board::SetPeer(const std::string& peer,
                             const std::vector<peer_upstream_view>& views,
                             time_point now) {
  peer_state& known = peers_[peer];
  known.heard = now;
  known.views.clear();
  for (const peer_upstream_view& view : views) {
    known.views.emplace(view.upstream, view);
  }
}

std::vector<peer_upstream_view> upstream_board::OwnViews(time_point now) const {
  constexpr double kLeastOutcome = 0.05;
  std::vector<peer_upstream_view> views;
  for (const auto& [id, one] : upstreams_) {
    const outcome_sums outcomes = one.belief.Sums(now);
    if (one.own.running == 0 && outcomes.good + outcomes.bad < kLeastOutcome) {
      continue;
    }
    views.push_back({one.key, one.own, outcomes});
  }
  return views;
}

int upstream_board::Running(const std::string& service, time_point now) const {
  int running = 0;
  for (const auto& [id, one] : upstreams_) {
    if (one.entry.service == service) {
      running += Sum(one, now).load.running;
    }
  }
  return running;
}

int upstream_board::RunningAt(const std::string& id, time_point now) const {
  const auto found = upstreams_.find(id);
  return found == upstreams_.end() ? 0 : Sum(found->second, now).load.running;
}

}  // namespace skylarkcroft
