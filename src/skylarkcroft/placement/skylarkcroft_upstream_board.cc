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

}  // namespace

upstream_board::upstream_board(const board_terms& terms)
    : terms_(terms), peers_(terms.peer_load_life) {}

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
  peers_.Expire(now);
  const peer_upstream_view told = peers_.At(one.key);
  summed all{one.own, one.belief.Sums(now)};
  AddLoad(told.load, all.load);
  all.outcomes.good += told.outcomes.good;
  all.outcomes.bad += told.outcomes.bad;
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

placement upstream_board::Estimate(const state& one, const summed& all,
                                   const placement_request& request,
                                   bool home) const {
  placement made;
  made.upstream = one.entry;
  made.running = all.load.running;
  made.unread_tokens = TokensAhead(all.load, request.urgency);
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

double upstream_board::ReadingMs(int64_t tokens) const {
  return static_cast<double>(tokens) / terms_.read_tokens_per_ms;
}

double upstream_board::HarmToRunning(int64_t tokens, int running) const {
  const double reading = ReadingMs(tokens);
  return running * reading * reading /
         static_cast<double>(terms_.harmful_reading.count());
}

double upstream_board::RunningCost(int slots) const {
  return std::max(terms_.ms_per_running,
                  terms_.ms_when_full / std::max(slots, 1));
}

spread_option upstream_board::Weigh(const state& one, const summed& all,
                                    const placement& estimate,
                                    const placement_request& request,
                                    const surroundings& around,
                                    time_point now) const {
  const double excess = FailureShare(all.outcomes) - around.failure_share -
                        terms_.failure_tolerance;
  spread_option option{terms_.failure_ms * std::max(0.0, excess), 0};
  if (around.avoid_full_price && !one.entry.reclaimable) {
    option.cost += terms_.full_price_ms;
  }
  if (one.belief.IsAvoided(now)) {
    option.cost += kAvoidedPenalty;
  }
  if (std::find(request.tried.begin(), request.tried.end(), one.entry.id) !=
      request.tried.end()) {
    option.cost += kTriedPenalty;
  }
  if (request.cache_tokens == 0) {
    const double busy =
        static_cast<double>(all.load.running) / std::max(one.entry.slots, 1);
    const bool other_zone =
        one.entry.availability_zone != request.availability_zone;
    option.cost +=
        kPlainRequestMs * (busy + (other_zone ? kOtherZonePenalty : 0));
    return option;
  }
  const int64_t less_urgent =
      TokensAhead(all.load, kUrgencies - 1) - estimate.unread_tokens;
  const double harm =
      HarmToRunning(request.shape.prompt_tokens, estimate.running);
  option.cost += ReadingMs(estimate.unread_tokens) +
                 terms_.less_urgent_weight * ReadingMs(less_urgent) +
                 RunningCost(one.entry.slots) * estimate.running + harm +
                 (estimate.full ? kFullPenalty : 0);
  if (estimate.parts_cached) {
    option.saving =
        terms_.reread_weight * ReadingMs(request.shape.SharedTokens()) + harm -
        HarmToRunning(estimate.work.unread_tokens, estimate.running);
  }
  return option;
}

double upstream_board::UnseenCost(const placement_request& request,
                                  const std::vector<placement>& options,
                                  time_point now) const {
  if (peers_.size() == 0) {
    return 0;
  }
  const auto found = paces_.find(request.service);
  const service_pace pace =
      found == paces_.end() ? service_pace{} : found->second;
  int running = 0;
  for (const placement& option : options) {
    running += option.running;
  }
  const milliseconds age = std::max(terms_.least_peer_age, peers_.MeanAge(now));
  // What came in within the age of the reports, by Little's law; requests that
  // are shorter than that have ended again.
  const double share =
      std::min(1.0, static_cast<double>(age.count()) /
                        static_cast<double>(pace.MeanTime(now).count()));
  const int slots = std::max(options.front().upstream.slots, 1);
  if (request.cache_tokens == 0) {
    return share * running * kPlainRequestMs / slots;
  }
  const double reading =
      pace.MeanUnread(static_cast<double>(request.shape.prompt_tokens), now) /
      terms_.read_tokens_per_ms;
  return share * running * (RunningCost(slots) + reading);
}

std::optional<placement> upstream_board::Choose(
    const placement_request& request, time_point now) const {
  const surroundings around = Survey(request, now);
  std::vector<placement> estimates;
  estimates.reserve(around.usable);
  std::vector<spread_option> options;
  options.reserve(around.usable);
  for (const auto& [id, one] : upstreams_) {
    if (one.entry.service != request.service || !IsUsable(one)) {
      continue;
    }
    const summed all = Sum(one, now);
    estimates.push_back(Estimate(one, all, request, &one == around.home));
    options.push_back(Weigh(one, all, estimates.back(), request, around, now));
  }
  if (options.empty()) {
    return std::nullopt;
  }
  const size_t chosen =
      ChooseSpread(options, UnseenCost(request, estimates, now), request.draw);
  placement best = estimates[chosen];
  best.candidates = around.usable;
  best.peer_age = peers_.GreatestAge(now);
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
  paces_[one.entry.service].NoteSent(work.unread_tokens, now);
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
  paces_[one.entry.service].NoteEnded(now);
  one.own.running = std::max(0, one.own.running - 1);
  one.own.memory_tokens =
      std::max<int64_t>(0, one.own.memory_tokens - work.memory_tokens);
  one.belief.Note(outcome, now);
}

void upstream_board::NoteByte(const std::string& id, time_point now) {
  const auto found = upstreams_.find(id);
  if (found != upstreams_.end()) {
    found->second.last_byte = now;
    found->second.heard = now;
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

milliseconds upstream_board::SilenceToAll(const std::string& id,
                                          time_point now) const {
  const milliseconds own = Silence(id, now);
  const std::optional<time_point> to_peers = peers_.LastByte(UpstreamKey(id));
  if (!to_peers.has_value()) {
    return own;
  }
  return std::min(own,
                  std::chrono::duration_cast<milliseconds>(now - *to_peers));
}

void upstream_board::SetPeer(const report_part& of,
                             const std::vector<peer_upstream_view>& views,
                             time_point now) {
  peers_.Set(of, views, now);
}

milliseconds upstream_board::QuietTime(const state& one, time_point now) {
  if (!one.heard.has_value()) {
    return kLongestQuiet;
  }
  return std::min(kLongestQuiet,
                  std::chrono::duration_cast<milliseconds>(now - *one.heard));
}

std::vector<peer_upstream_view> upstream_board::OwnViews(time_point now) const {
  // An outcome counts about this much after the half-life of outcomes; older
  // successes say little and would fill every report.
  constexpr double kLeastOutcome = 0.5;
  constexpr double kLeastFailure = 0.1;
  std::vector<peer_upstream_view> views;
  for (const auto& [id, one] : upstreams_) {
    const outcome_sums outcomes = one.belief.Sums(now);
    const bool told = one.own.running > 0 || outcomes.bad >= kLeastFailure ||
                      outcomes.good >= kLeastOutcome;
    if (told) {
      views.push_back({one.key, one.own, outcomes, QuietTime(one, now)});
    }
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
