#include "skylarkcroft/quarantine/skylarkcroft_part_quarantine.h"

#include <algorithm>
#include <utility>

namespace skylarkcroft {
namespace {

// Told successes are remembered for at most this many parts.
constexpr size_t kMaxTold = 1024;
// Differences between nodes below this are due to the time that reports take.
constexpr milliseconds kReportDelay{1000};

milliseconds ToMilliseconds(duration span) {
  return std::max(milliseconds(0),
                  std::chrono::duration_cast<milliseconds>(span));
}

}  // namespace

std::string_view ToString(quarantine_decision decision) {
  switch (decision) {
    case quarantine_decision::kAllowed:
      return "allowed";
    case quarantine_decision::kPartQuarantined:
      return "part_quarantined";
    case quarantine_decision::kRequestCrashed:
      return "request_crashed";
  }
  return "unknown";
}

quarantine_verdict part_quarantine::Decide(const prompt_key& prompt,
                                           time_point now) const {
  for (const quarantine& entry : quarantined_) {
    if (entry.lapsed || now >= entry.ends_at ||
        !ContainsAll(prompt.shared, entry.parts)) {
      continue;
    }
    return {quarantine_decision::kPartQuarantined,
            ToMilliseconds(entry.ends_at - now)};
  }
  const bool repeated = prompt.request != 0 &&
                        evidence_.CrashesOfRequest(
                            prompt.request, now - parameters_.repeat_block) >=
                            parameters_.max_crashes_of_request;
  if (repeated) {
    return {quarantine_decision::kRequestCrashed, parameters_.repeat_block};
  }
  return {};
}

void part_quarantine::RecordCrash(const crash_suspect& suspect,
                                  time_point now) {
  crash_suspect filtered = suspect;
  std::erase_if(filtered.parts,
                [&](part_key part) { return IsInGoodStanding(part, now); });
  if (filtered.parts.empty()) {
    return;
  }
  if (now - told_second_ >= std::chrono::seconds(1)) {
    told_second_ = now;
    told_crashes_ = 0;
  }
  if (told_crashes_ < parameters_.max_told_crashes_per_second) {
    ++told_crashes_;
    untold_.crashes.push_back(filtered);
  }
  AddEvidence(filtered, now);
}

void part_quarantine::RecordByte(uint32_t upstream, time_point now) {
  if (!evidence_.HasUnconfirmed(upstream, now)) {
    return;
  }
  evidence_.Refute(upstream, now);
  const bool refuted = !evidence_.HasUnconfirmed(upstream, now);
  if (refuted) {
    alive_to_tell_.push_back(upstream);
  }
}

void part_quarantine::RecordSuccess(const prompt_key& prompt, time_point now) {
  for (const part_key part : prompt.shared) {
    RememberSuccess(part, now);
    if (!IsSuspected(part)) {
      continue;
    }
    ClearPart(part, now, "success", now);
    untold_.successes.push_back({part, milliseconds(0)});
    told_at_[part] = now;
  }
}

void part_quarantine::OnNotice(const quarantine_notice& notice,
                               time_point now) {
  for (const part_success& success : notice.successes) {
    const time_point at = now - success.age;
    RememberSuccess(success.part, at);
    told_at_[success.part] = now;
    std::erase(successes_to_tell_, success.part);
    ClearPart(success.part, at, "peer", now);
  }
  for (const uint32_t upstream : notice.alive) {
    evidence_.Refute(upstream, now);
    std::erase(alive_to_tell_, upstream);
  }
  for (const quarantined_parts& told : notice.quarantined) {
    OnPeerQuarantine(told, now);
  }
  for (const crash_suspect& suspect : notice.crashes) {
    OnPeerCrash(suspect, now);
  }
}

void part_quarantine::Tick(time_point now) {
  for (const part_key part : std::exchange(successes_to_tell_, {})) {
    const std::optional<time_point> at = successes_.LastSuccess(part);
    if (at.has_value()) {
      untold_.successes.push_back({part, ToMilliseconds(now - *at)});
      told_at_[part] = now;
    }
  }
  for (const uint32_t upstream : std::exchange(alive_to_tell_, {})) {
    untold_.alive.push_back(upstream);
  }
  if (told_at_.size() > kMaxTold) {
    std::erase_if(told_at_, [&](const auto& entry) {
      return now - entry.second > parameters_.good_standing;
    });
  }
  evidence_.DropOld(now);
  Accuse(now);
  EndQuarantines(now);
}

quarantine_notice part_quarantine::TakeNotice() {
  return std::exchange(untold_, {});
}

std::vector<quarantined_parts> part_quarantine::Entries(time_point now) const {
  std::vector<quarantined_parts> entries;
  for (const quarantine& entry : quarantined_) {
    if (!entry.lapsed) {
      entries.push_back(Describe(entry, now));
    }
  }
  return entries;
}

std::vector<quarantined_parts> part_quarantine::Report(time_point now) const {
  std::vector<quarantined_parts> entries = Entries(now);
  if (entries.size() > parameters_.max_reported) {
    entries.erase(
        entries.begin(),
        entries.end() - static_cast<std::ptrdiff_t>(parameters_.max_reported));
  }
  return entries;
}

void part_quarantine::RememberSuccess(part_key part, time_point at) {
  successes_.Record(part, at);
  if (!first_success_at_.has_value()) {
    first_success_at_ = at;
  }
}

bool part_quarantine::IsInGoodStanding(part_key part, time_point now) const {
  const std::optional<time_point> at = successes_.LastSuccess(part);
  return at.has_value() && now - *at < parameters_.good_standing;
}

std::vector<part_key> part_quarantine::WithoutSound(
    const std::vector<part_key>& parts, time_point since) const {
  std::vector<part_key> remaining = parts;
  std::erase_if(remaining, [&](part_key part) {
    const std::optional<time_point> at = successes_.LastSuccess(part);
    return at.has_value() && *at >= since;
  });
  return remaining;
}

milliseconds part_quarantine::Length(int relapses) const {
  constexpr int kMaxDoublings = 16;
  const milliseconds::rep factor = milliseconds::rep{1}
                                   << std::min(relapses, kMaxDoublings);
  return std::min(parameters_.first_quarantine * factor,
                  parameters_.max_quarantine);
}

quarantined_parts part_quarantine::Describe(const quarantine& entry,
                                            time_point now) {
  return {entry.parts, ToMilliseconds(now - entry.first_crash_at),
          ToMilliseconds(entry.ends_at - now), entry.relapses};
}

void part_quarantine::AddEvidence(const crash_suspect& suspect,
                                  time_point now) {
  evidence_.Add(suspect, now);
  if (suspect.response_begun) {
    QuarantineAgain(suspect, now);
  }
  for (const quarantine& entry : quarantined_) {
    evidence_.Explain(entry.parts);
  }
}

void part_quarantine::Accuse(time_point now) {
  const bool warm = first_success_at_.has_value() &&
                    now - *first_success_at_ >= parameters_.warm_up;
  const std::optional<accusation> found = evidence_.FindAccusation(now, !warm);
  if (found.has_value()) {
    Insert({found->parts, found->first_crash_at, now + Length(0), 0, false},
           "crashes", now);
  }
}

void part_quarantine::QuarantineAgain(const crash_suspect& suspect,
                                      time_point now) {
  const auto lapsed = std::find_if(
      quarantined_.begin(), quarantined_.end(), [&](const quarantine& entry) {
        return entry.lapsed && ContainsAll(suspect.parts, entry.parts);
      });
  if (lapsed == quarantined_.end()) {
    return;
  }
  const int relapses = lapsed->relapses + 1;
  const quarantine added{lapsed->parts, now, now + Length(relapses), relapses,
                         false};
  Insert(added, "crashes", now);
}

void part_quarantine::Insert(const quarantine& added, std::string_view source,
                             time_point now) {
  // A smaller set of parts rejects all that a larger one does.
  std::erase_if(quarantined_, [&](const quarantine& entry) {
    return ContainsAll(entry.parts, added.parts);
  });
  quarantined_.push_back(added);
  if (quarantined_.size() > parameters_.max_quarantined) {
    quarantined_.erase(
        std::min_element(quarantined_.begin(), quarantined_.end(),
                         [](const quarantine& one, const quarantine& other) {
                           return one.ends_at < other.ends_at;
                         }));
  }
  evidence_.Explain(added.parts);
  on_event_({"quarantined", source, Describe(added, now)});
}

void part_quarantine::ClearPart(part_key part, time_point success_at,
                                std::string_view source, time_point now) {
  evidence_.RemovePart(part, success_at + parameters_.good_standing);
  std::vector<quarantine> kept;
  for (quarantine& entry : quarantined_) {
    const bool refuted =
        success_at >= entry.first_crash_at && ContainsAll(entry.parts, {part});
    if (!refuted) {
      kept.push_back(std::move(entry));
      continue;
    }
    const quarantined_parts before = Describe(entry, now);
    std::erase(entry.parts, part);
    if (entry.parts.empty()) {
      on_event_({"cleared", source, before});
    } else {
      kept.push_back(std::move(entry));
    }
  }
  quarantined_ = std::move(kept);
}

bool part_quarantine::IsSuspected(part_key part) const {
  return evidence_.Contains(part) ||
         std::any_of(quarantined_.begin(), quarantined_.end(),
                     [part](const quarantine& entry) {
                       return ContainsAll(entry.parts, {part});
                     });
}

void part_quarantine::OnPeerCrash(const crash_suspect& suspect,
                                  time_point now) {
  crash_suspect filtered = suspect;
  for (const part_key part : suspect.parts) {
    if (IsInGoodStanding(part, now)) {
      TellLater(part, now);
      std::erase(filtered.parts, part);
    }
  }
  if (!filtered.parts.empty()) {
    AddEvidence(filtered, now);
  }
}

void part_quarantine::OnPeerQuarantine(const quarantined_parts& told,
                                       time_point now) {
  const time_point first_crash_at = now - told.first_crash_age;
  const std::vector<part_key> parts = WithoutSound(told.parts, first_crash_at);
  for (const part_key part : told.parts) {
    if (!ContainsAll(parts, {part})) {
      TellLater(part, now);
    }
  }
  const time_point ends_at = now + told.remaining;
  const bool known = std::any_of(
      quarantined_.begin(), quarantined_.end(), [&](const quarantine& entry) {
        return ContainsAll(parts, entry.parts) &&
               (entry.lapsed ? entry.relapses >= told.relapses
                             : ends_at - entry.ends_at < kReportDelay);
      });
  if (parts.empty() || known || told.remaining <= kReportDelay) {
    return;
  }
  Insert({parts, first_crash_at, ends_at, told.relapses, false}, "peer", now);
}

void part_quarantine::TellLater(part_key part, time_point now) {
  const auto told = told_at_.find(part);
  const bool recently = told != told_at_.end() &&
                        now - told->second < parameters_.good_standing / 2;
  const bool waiting =
      std::find(successes_to_tell_.begin(), successes_to_tell_.end(), part) !=
      successes_to_tell_.end();
  if (!recently && !waiting) {
    successes_to_tell_.push_back(part);
  }
}

void part_quarantine::EndQuarantines(time_point now) {
  for (quarantine& entry : quarantined_) {
    if (!entry.lapsed && now >= entry.ends_at) {
      entry.lapsed = true;
      on_event_({"lapsed", "age", Describe(entry, now)});
    }
  }
  std::erase_if(quarantined_, [&](const quarantine& entry) {
    return now - entry.ends_at > parameters_.probation;
  });
}

}  // namespace skylarkcroft
