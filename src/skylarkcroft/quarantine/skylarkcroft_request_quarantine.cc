#include "skylarkcroft/quarantine/skylarkcroft_request_quarantine.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace skylarkcroft {
namespace {

// Told successes are remembered for at most this many requests.
constexpr size_t kMaxTold = 1024;
// Differences between nodes below this are due to the time that reports take.
constexpr milliseconds kReportDelay{1000};
// A success before a quarantine is told once in this time.
constexpr milliseconds kOldSuccessPause{10000};
// Ages beyond this are told as this.
constexpr milliseconds kMaxToldAge = std::chrono::hours(24);

milliseconds ToMilliseconds(duration span) {
  return std::max(milliseconds(0),
                  std::chrono::duration_cast<milliseconds>(span));
}

}  // namespace

quarantine_verdict request_quarantine::Decide(request_key request,
                                              time_point now) const {
  const auto reject = [](duration remaining) {
    return quarantine_verdict{quarantine_decision::kRequestCrashed,
                              ToMilliseconds(remaining)};
  };
  const auto found = quarantined_.find(request);
  const bool known = found != quarantined_.end();
  if (known && IsRejecting(found->second, now)) {
    return reject(found->second.ends_at + parameters_.end_delay - now);
  }
  if (IsAccused(request)) {
    return reject(Length(known ? found->second.relapses + 1 : 0, false));
  }
  const std::optional<time_point> block_end = BlockEnd(request);
  const bool blocked = block_end.has_value() && now < *block_end;
  return blocked ? reject(*block_end - now) : quarantine_verdict{};
}

std::optional<time_point> request_quarantine::BlockEnd(
    request_key request) const {
  const std::vector<suspected_crash> crashes = suspects_.Crashes(request);
  const bool enough = parameters_.crashes_to_block > 0 &&
                      crashes.size() >= parameters_.crashes_to_block;
  return enough ? std::optional<time_point>(crashes.back().at +
                                            parameters_.repeat_block +
                                            parameters_.end_delay)
                : std::nullopt;
}

bool request_quarantine::RecordSending(request_key request, time_point now) {
  auto found = quarantined_.find(request);
  const std::optional<time_point> block_end = BlockEnd(request);
  const bool was_blocked =
      found == quarantined_.end() && block_end.has_value() && now >= *block_end;
  if (was_blocked) {
    // All nodes would send it at once when the block ends.
    const time_point first = suspects_.Crashes(request).front().at;
    DropExcess();
    suspects_.Clear(request, now);
    found =
        quarantined_.insert({request, {first, now, 0, phase::kLapsed}}).first;
  }
  if (found == quarantined_.end() || IsRejecting(found->second, now)) {
    return false;
  }
  found->second.state = phase::kTried;
  found->second.ends_at = now + parameters_.trial;
  untold_.quarantined.push_back(Describe(request, found->second, now));
  on_event_({"tried", "sending", untold_.quarantined.back()});
  return true;
}

void request_quarantine::RecordCrash(uint32_t upstream, request_key request,
                                     time_point sent_at, time_point now) {
  if (!IsInGoodStanding(request, now)) {
    AddCrash(request, {upstream, now, sent_at}, true, now);
  }
}

void request_quarantine::ExplainCrash(uint32_t upstream, time_point now) {
  if (!suspects_.IsExplained(upstream, now)) {
    suspects_.Explain(upstream, now, kStrongest, now);
    untold_.explained.push_back(upstream);
  }
}

void request_quarantine::RecordByte(uint32_t upstream, time_point now) {
  if (suspects_.Refute(upstream, now)) {
    alive_to_tell_.push_back(upstream);
  }
}

void request_quarantine::RecordSuccess(request_key request, time_point now) {
  const bool suspected =
      suspects_.Count(request) > 0 || quarantined_.contains(request);
  ApplySuccess(request, now, "success", now);
  if (suspected) {
    untold_.successes.push_back({request, milliseconds(0)});
    told_at_[request] = now;
  }
}

void request_quarantine::OnNotice(const request_notice& notice,
                                  time_point now) {
  for (const request_success& success : notice.successes) {
    told_at_[success.request] = now;
    std::erase(successes_to_tell_, success.request);
    ApplySuccess(success.request, now - success.age, "peer", now);
  }
  for (const uint32_t upstream : notice.alive) {
    suspects_.RefuteByPeer(upstream, now);
    std::erase(alive_to_tell_, upstream);
  }
  for (const uint32_t upstream : notice.explained) {
    suspects_.Explain(upstream, now, kStrongest, now);
  }
  for (const quarantined_request& told : notice.quarantined) {
    OnPeerQuarantine(told, now);
  }
  for (const request_crash& told : notice.crashes) {
    OnPeerCrash(told, now);
  }
}

void request_quarantine::Tick(time_point now) {
  for (const request_key request : std::exchange(successes_to_tell_, {})) {
    const std::optional<time_point> at = LastSuccess(request, now);
    if (at.has_value()) {
      untold_.successes.push_back({request, ToMilliseconds(now - *at)});
      told_at_[request] = now;
    }
  }
  for (const uint32_t upstream : std::exchange(alive_to_tell_, {})) {
    untold_.alive.push_back(upstream);
  }
  if (told_at_.size() > kMaxTold) {
    std::erase_if(told_at_, [&](const auto& entry) {
      return now - entry.second > kOldSuccessPause;
    });
  }
  suspects_.DropOld(now);
  Accuse(now);
  EndQuarantines(now);
}

request_notice request_quarantine::TakeNotice() {
  return std::exchange(untold_, {});
}

std::vector<quarantined_request> request_quarantine::Entries(
    time_point now) const {
  std::vector<quarantined_request> entries;
  for (const auto& [request, entry] : quarantined_) {
    if (entry.state != phase::kLapsed && now < entry.ends_at) {
      entries.push_back(Describe(request, entry, now));
    }
  }
  return entries;
}

std::vector<quarantined_request> request_quarantine::Report(
    time_point now) const {
  std::vector<quarantined_request> entries = Entries(now);
  if (entries.size() > parameters_.max_reported) {
    const auto end =
        entries.begin() + static_cast<std::ptrdiff_t>(parameters_.max_reported);
    std::nth_element(
        entries.begin(), end, entries.end(),
        [](const quarantined_request& one, const quarantined_request& other) {
          return one.first_crash_age < other.first_crash_age;
        });
    entries.erase(end, entries.end());
  }
  return entries;
}

size_t request_quarantine::MemoryBytes() const {
  // A node of a map has its element, a pointer and the hash.
  constexpr size_t kLinkBytes = 2 * sizeof(void*);
  constexpr size_t kSuccessBytes =
      sizeof(std::pair<const request_key, time_point>) + kLinkBytes;
  constexpr size_t kQuarantineBytes =
      sizeof(std::pair<const request_key, quarantine>) + kLinkBytes;
  return suspects_.MemoryBytes() +
         (successes_.size() + told_at_.size()) * kSuccessBytes +
         quarantined_.size() * kQuarantineBytes;
}

bool request_quarantine::IsInGoodStanding(request_key request,
                                          time_point now) const {
  const std::optional<time_point> at = successes_.LastSuccess(request);
  return at.has_value() && now - *at < parameters_.good_standing;
}

std::optional<time_point> request_quarantine::LastSuccess(
    request_key request, time_point now) const {
  const std::optional<time_point> at = successes_.LastSuccess(request);
  const bool recent = at.has_value() && now - *at < parameters_.max_success_age;
  return recent ? at : std::nullopt;
}

milliseconds request_quarantine::Length(int relapses, bool was_sound) const {
  if (relapses == 0 && was_sound) {
    return parameters_.first_quarantine_of_sound;
  }
  milliseconds length = parameters_.first_quarantine;
  for (int i = 0; i < relapses && length < parameters_.max_quarantine; ++i) {
    length *= parameters_.relapse_factor;
  }
  return std::min(length, parameters_.max_quarantine);
}

quarantined_request request_quarantine::Describe(request_key request,
                                                 const quarantine& entry,
                                                 time_point now) {
  return {request,
          std::min(ToMilliseconds(now - entry.first_crash_at), kMaxToldAge),
          ToMilliseconds(entry.ends_at - now), entry.relapses};
}

size_t request_quarantine::CrashesToAccuse(request_key request) const {
  return quarantined_.contains(request) ? 1 : parameters_.suspects.min_crashes;
}

void request_quarantine::AddCrash(request_key request,
                                  const suspected_crash& crash, bool is_own,
                                  time_point now) {
  const auto found = quarantined_.find(request);
  if (found != quarantined_.end() && found->second.state == phase::kInForce &&
      now < found->second.ends_at) {
    // It was on its way, and is what crashed the upstream.
    if (is_own) {
      ExplainCrash(crash.upstream, now);
    } else {
      suspects_.Explain(crash.upstream, crash.at, kStrongest, now);
    }
    return;
  }
  const size_t count =
      suspects_.Add(request, crash, parameters_.min_repeat_gap, now);
  if (count == 0) {
    return;
  }
  if (is_own) {
    TellCrash(request, crash, now);
  }
  if (count >= CrashesToAccuse(request)) {
    accused_[request] = accused_[request] || is_own;
  }
}

void request_quarantine::ExplainWeaker(request_key request, time_point now) {
  const std::vector<suspected_crash> crashes = suspects_.Crashes(request);
  if (crashes.size() < parameters_.suspects.min_crashes) {
    return;
  }
  for (const suspected_crash& crash : crashes) {
    suspects_.Explain(crash.upstream, crash.at, crashes.size(), now);
  }
}

std::vector<request_key> request_quarantine::Rivals(request_key request) const {
  const size_t count = suspects_.Count(request);
  std::vector<request_key> rivals;
  for (const auto& [other, is_own] : accused_) {
    if (other != request && suspects_.Count(other) >= count) {
      rivals.push_back(other);
    }
  }
  return rivals;
}

bool request_quarantine::IsSoleSuspect(
    request_key request, const std::vector<request_key>& group) const {
  const std::vector<suspected_crash> crashes = suspects_.Crashes(request);
  const auto is_sole = [&](const suspected_crash& crash) {
    return std::none_of(group.begin(), group.end(), [&](request_key other) {
      return other != request && suspects_.HasCrash(other, crash);
    });
  };
  return static_cast<size_t>(
             std::count_if(crashes.begin(), crashes.end(), is_sole)) >=
         parameters_.min_sole_crashes;
}

bool request_quarantine::IsAccused(request_key request) const {
  const std::vector<suspected_crash> crashes = suspects_.Crashes(request);
  if (!accused_.contains(request) ||
      crashes.size() < CrashesToAccuse(request)) {
    return false;
  }
  if (quarantined_.contains(request)) {
    return true;
  }
  std::vector<request_key> group = Rivals(request);
  if (group.size() > parameters_.max_rivals) {
    return false;
  }
  group.push_back(request);
  const bool is_sole = IsSoleSuspect(request, group);
  std::vector<request_key> stronger;
  std::copy_if(group.begin(), group.end(), std::back_inserter(stronger),
               [&](request_key other) {
                 return other != request &&
                        (suspects_.Count(other) > crashes.size() ||
                         (!is_sole && IsSoleSuspect(other, group)));
               });
  const auto unexplained =
      std::count_if(crashes.begin(), crashes.end(), [&](const auto& crash) {
        return std::none_of(stronger.begin(), stronger.end(),
                            [&](request_key other) {
                              return suspects_.HasCrash(other, crash);
                            });
      });
  return static_cast<size_t>(unexplained) >= CrashesToAccuse(request);
}

void request_quarantine::TellCrash(request_key request,
                                   const suspected_crash& crash,
                                   time_point now) {
  if (now - told_second_ >= std::chrono::seconds(1)) {
    told_second_ = now;
    told_crashes_ = 0;
    told_repeats_ = 0;
  }
  const auto describe = [&](const suspected_crash& told) {
    return request_crash{told.upstream, request, ToMilliseconds(now - told.at),
                         ToMilliseconds(told.at - told.sent_at)};
  };
  const std::vector<suspected_crash> crashes = suspects_.Crashes(request);
  if (crashes.size() == 1 &&
      told_crashes_ < parameters_.max_told_crashes_per_second) {
    ++told_crashes_;
    untold_.crashes.push_back(describe(crash));
  }
  if (crashes.size() > 1 &&
      told_repeats_ < parameters_.max_told_repeats_per_second) {
    ++told_repeats_;
    // A peer may have missed the earlier ones.
    std::transform(crashes.begin(), crashes.end(),
                   std::back_inserter(untold_.crashes), describe);
  }
}

void request_quarantine::Accuse(time_point now) {
  std::erase_if(accused_, [&](const auto& entry) {
    const std::vector<suspected_crash> crashes = suspects_.Crashes(entry.first);
    return crashes.size() < CrashesToAccuse(entry.first) ||
           now - crashes.back().at > parameters_.rank_span;
  });
  std::vector<request_key> due;
  std::vector<request_key> bystanders;
  std::vector<suspected_crash> explained;
  std::vector<suspected_crash> explained_for_all;
  for (const auto& [request, is_own] : accused_) {
    if (!IsAccused(request)) {
      bystanders.push_back(request);
      continue;
    }
    if (suspects_.CertainCount(request, now) < CrashesToAccuse(request)) {
      continue;
    }
    due.push_back(request);
    std::vector<suspected_crash>& list =
        IsSoleSuspect(request, Rivals(request)) ? explained_for_all : explained;
    const std::vector<suspected_crash> crashes = suspects_.Crashes(request);
    list.insert(list.end(), crashes.begin(), crashes.end());
  }
  for (const request_key request : due) {
    Quarantine(request, now);
  }
  for (const suspected_crash& crash : explained_for_all) {
    suspects_.Explain(crash.upstream, crash.at, kStrongest, now);
  }
  for (const suspected_crash& crash : explained) {
    for (const request_key bystander : bystanders) {
      suspects_.Remove(bystander, crash.upstream, crash.at);
    }
  }
}

void request_quarantine::Quarantine(request_key request, time_point now) {
  const auto found = quarantined_.find(request);
  const int relapses =
      found == quarantined_.end() ? 0 : found->second.relapses + 1;
  const bool was_sound = LastSuccess(request, now).has_value();
  const std::vector<suspected_crash> crashes = suspects_.Crashes(request);
  const time_point first = crashes.empty() ? now : crashes.front().at;
  const bool is_own = accused_.at(request);
  Insert(request, {first, now + Length(relapses, was_sound), relapses},
         "crashes", now);
  if (is_own) {
    untold_.quarantined.push_back(
        Describe(request, quarantined_.at(request), now));
  }
}

void request_quarantine::Insert(request_key request, const quarantine& added,
                                std::string_view source, time_point now) {
  ExplainWeaker(request, now);
  suspects_.Clear(request, now);
  accused_.erase(request);
  // Makes room before the insertion, so that the new one is not dropped.
  if (!quarantined_.contains(request)) {
    DropExcess();
  }
  quarantined_[request] = added;
  on_event_({"quarantined", source, Describe(request, added, now)});
}

void request_quarantine::DropExcess() {
  if (quarantined_.size() < parameters_.max_quarantined) {
    return;
  }
  quarantined_.erase(std::min_element(quarantined_.begin(), quarantined_.end(),
                                      [](const auto& one, const auto& other) {
                                        return one.second.ends_at <
                                               other.second.ends_at;
                                      }));
}

void request_quarantine::ApplySuccess(request_key request,
                                      time_point success_at,
                                      std::string_view source, time_point now) {
  successes_.Record(request, success_at);
  suspects_.Clear(request, success_at + parameters_.good_standing);
  const auto found = quarantined_.find(request);
  if (found == quarantined_.end()) {
    return;
  }
  quarantine& entry = found->second;
  if (success_at >= entry.first_crash_at) {
    const quarantined_request before = Describe(request, entry, now);
    quarantined_.erase(found);
    on_event_({"cleared", source, before});
    return;
  }
  if (entry.relapses == 0 && entry.state == phase::kInForce) {
    entry.ends_at =
        std::min(entry.ends_at,
                 entry.first_crash_at + parameters_.first_quarantine_of_sound);
  }
}

void request_quarantine::OnPeerCrash(const request_crash& told,
                                     time_point now) {
  if (IsInGoodStanding(told.request, now)) {
    TellLater(told.request, parameters_.good_standing / 2, now);
    return;
  }
  const time_point at = now - told.age;
  AddCrash(told.request, {told.upstream, at, at - told.run_time}, false, now);
}

void request_quarantine::OnPeerQuarantine(const quarantined_request& told,
                                          time_point now) {
  if (told.remaining <= kReportDelay) {
    return;
  }
  quarantine entry{now - told.first_crash_age,
                   now + std::min(told.remaining, parameters_.max_quarantine),
                   told.relapses};
  const std::optional<time_point> success = LastSuccess(told.request, now);
  if (success.has_value() && *success >= entry.first_crash_at) {
    TellLater(told.request, parameters_.good_standing / 2, now);
    return;
  }
  if (success.has_value() && told.relapses == 0) {
    TellLater(told.request, kOldSuccessPause, now);
    entry.ends_at =
        std::min(entry.ends_at,
                 entry.first_crash_at + parameters_.first_quarantine_of_sound);
  }
  const auto known = quarantined_.find(told.request);
  if (known == quarantined_.end()) {
    Insert(told.request, entry, "peer", now);
    return;
  }
  Update(told.request, known->second, entry, now);
}

void request_quarantine::Update(request_key request, quarantine& known,
                                const quarantine& told, time_point now) {
  if (told.relapses > known.relapses) {
    Insert(request, told, "peer", now);
    return;
  }
  const bool later = told.ends_at - known.ends_at >= kReportDelay;
  if (told.relapses < known.relapses || !later) {
    return;
  }
  // One that is told to go on after its end is being tried by a peer.
  const bool ended = known.state != phase::kInForce || now >= known.ends_at;
  known.state = ended ? phase::kTried : phase::kInForce;
  known.ends_at = told.ends_at;
}

void request_quarantine::TellLater(request_key request, duration pause,
                                   time_point now) {
  const auto told = told_at_.find(request);
  const bool recently = told != told_at_.end() && now - told->second < pause;
  const bool waiting =
      std::find(successes_to_tell_.begin(), successes_to_tell_.end(),
                request) != successes_to_tell_.end();
  if (!recently && !waiting) {
    successes_to_tell_.push_back(request);
  }
}

void request_quarantine::EndQuarantines(time_point now) {
  for (auto& [request, entry] : quarantined_) {
    if (entry.state != phase::kLapsed && !IsRejecting(entry, now)) {
      entry.state = phase::kLapsed;
      on_event_({"lapsed", "age", Describe(request, entry, now)});
    }
  }
  std::erase_if(quarantined_, [&](const auto& entry) {
    return now - entry.second.ends_at > parameters_.probation;
  });
}

}  // namespace skylarkcroft
