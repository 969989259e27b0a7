#include "skylarkcroft/quarantine/skylarkcroft_crash_evidence.h"

#include <algorithm>
#include <set>

namespace skylarkcroft {
namespace {

bool ContainsPart(const std::vector<part_key>& parts, part_key part) {
  return std::find(parts.begin(), parts.end(), part) != parts.end();
}

}  // namespace

bool ContainsAll(const std::vector<part_key>& parts,
                 const std::vector<part_key>& subset) {
  return std::all_of(subset.begin(), subset.end(),
                     [&](part_key part) { return ContainsPart(parts, part); });
}

void crash_evidence::Add(const crash_suspect& suspect, time_point now) {
  const record added{suspect, now, {}};
  for (const record& known : records_) {
    if (known.suspect.request == suspect.request && IsSameCrash(known, added)) {
      return;
    }
  }
  records_.push_back(added);
  if (records_.size() > parameters_.max_records) {
    records_.pop_front();
  }
}

void crash_evidence::RemovePart(part_key part, time_point until) {
  for (record& known : records_) {
    if (known.at > until) {
      continue;
    }
    std::erase(known.suspect.parts, part);
  }
  std::erase_if(records_, [](const record& known) {
    return known.suspect.parts.empty();
  });
}

void crash_evidence::Refute(uint32_t upstream, time_point alive_at) {
  std::erase_if(records_, [&](const record& known) {
    return known.suspect.upstream == upstream &&
           !IsConfirmed(known, alive_at) &&
           alive_at - known.at >= parameters_.transit;
  });
}

void crash_evidence::Explain(const std::vector<part_key>& parts) {
  for (record& known : records_) {
    if (ContainsAll(known.suspect.parts, parts)) {
      known.explained_by = parts;
    }
  }
}

void crash_evidence::DropOld(time_point now) {
  while (!records_.empty() && now - records_.front().at > parameters_.max_age) {
    records_.pop_front();
  }
}

double crash_evidence::CrashesOfRequest(part_key request,
                                        time_point since) const {
  constexpr double kNotBegun = 0.5;
  double crashes = 0;
  for (const record& known : records_) {
    if (known.suspect.request != request || known.at < since ||
        IsBystander(known)) {
      continue;
    }
    crashes += known.suspect.response_begun ? 1 : kNotBegun;
  }
  return crashes;
}

bool crash_evidence::Contains(part_key part) const {
  return std::any_of(records_.begin(), records_.end(),
                     [part](const record& known) {
                       return ContainsPart(known.suspect.parts, part);
                     });
}

bool crash_evidence::HasUnconfirmed(time_point now) const {
  return !records_.empty() && !IsConfirmed(records_.back(), now);
}

bool crash_evidence::HasUnconfirmed(uint32_t upstream, time_point now) const {
  return std::any_of(
      records_.begin(), records_.end(), [&](const record& known) {
        return known.suspect.upstream == upstream && !IsConfirmed(known, now);
      });
}

bool crash_evidence::IsSameCrash(const record& one, const record& other) const {
  const duration apart =
      one.at < other.at ? other.at - one.at : one.at - other.at;
  return one.suspect.upstream == other.suspect.upstream &&
         apart <= parameters_.same_crash;
}

bool crash_evidence::IsBystander(const record& candidate) const {
  const auto is_likelier = [&](const record& other) {
    const bool begun =
        other.suspect.response_begun && !candidate.suspect.response_begun;
    const bool explains =
        !other.explained_by.empty() && candidate.explained_by.empty();
    return (begun || explains) && IsSameCrash(candidate, other);
  };
  return std::any_of(records_.begin(), records_.end(), is_likelier);
}

bool crash_evidence::MayBeDueTo(const record& crash, part_key part) const {
  return std::any_of(records_.begin(), records_.end(),
                     [&](const record& other) {
                       return ContainsPart(other.suspect.parts, part) &&
                              IsSameCrash(crash, other);
                     });
}

void crash_evidence::Append(part_history& history, const record& crash) const {
  const auto is_same = [&](const record* known) {
    return IsSameCrash(*known, crash);
  };
  const bool known =
      std::any_of(history.crashes.begin(), history.crashes.end(), is_same);
  const bool common_cause =
      !history.crashes.empty() &&
      crash.at - history.crashes.back()->at < parameters_.min_crash_gap;
  if (!known && !common_cause) {
    history.crashes.push_back(&crash);
  }
}

std::vector<crash_evidence::part_history> crash_evidence::CollectHistories(
    time_point now) const {
  std::vector<part_history> histories;
  for (const record& known : records_) {
    if (!IsConfirmed(known, now) || IsBystander(known)) {
      continue;
    }
    for (const part_key part : known.suspect.parts) {
      if (!known.explained_by.empty() &&
          !ContainsPart(known.explained_by, part)) {
        continue;
      }
      auto history = std::find_if(
          histories.begin(), histories.end(),
          [part](const part_history& other) { return other.part == part; });
      if (history == histories.end()) {
        history = histories.insert(histories.end(), {part, {}});
      }
      Append(*history, known);
    }
  }
  std::stable_sort(histories.begin(), histories.end(),
                   [](const part_history& one, const part_history& other) {
                     return one.crashes.size() > other.crashes.size();
                   });
  return histories;
}

bool crash_evidence::IsEnough(const part_history& history) const {
  std::set<part_key> requests;
  int unexplained = 0;
  bool all_begun = true;
  for (const record* crash : history.crashes) {
    requests.insert(crash->suspect.request);
    all_begun = all_begun && crash->suspect.response_begun;
    unexplained += crash->explained_by.empty() ? 1 : 0;
  }
  const int min_requests =
      all_begun ? parameters_.min_begun_requests : parameters_.min_crashes;
  return static_cast<int>(history.crashes.size()) >= parameters_.min_crashes &&
         static_cast<int>(requests.size()) >= min_requests &&
         unexplained >= parameters_.min_unexplained;
}

std::vector<part_key> crash_evidence::CommonParts(const part_history& history) {
  std::vector<part_key> common = history.crashes.front()->suspect.parts;
  for (const record* crash : history.crashes) {
    std::erase_if(common, [&](part_key part) {
      return !ContainsPart(crash->suspect.parts, part);
    });
  }
  return common;
}

bool crash_evidence::IsDue(const part_history& history,
                           const std::vector<part_key>& common,
                           time_point now) const {
  const bool specific = std::all_of(
      history.crashes.begin(), history.crashes.end(), [&](const record* crash) {
        return ContainsPart(common, crash->suspect.parts.back());
      });
  return specific ||
         now - history.crashes.front()->at >= parameters_.min_unspecific_span;
}

crash_evidence::part_history crash_evidence::WithoutExplained(
    const part_history& history,
    const std::vector<part_history>& stronger) const {
  part_history remaining = history;
  for (const part_history& other : stronger) {
    if (other.crashes.size() <= history.crashes.size()) {
      continue;
    }
    std::erase_if(remaining.crashes, [&](const record* crash) {
      return MayBeDueTo(*crash, other.part);
    });
  }
  return remaining;
}

std::optional<accusation> crash_evidence::FindAccusation(time_point now,
                                                         bool wait) const {
  // Parts of more crashes that may yet turn out to explain those of others.
  std::vector<part_history> waiting;
  for (const part_history& history : CollectHistories(now)) {
    if (!IsEnough(history)) {
      continue;
    }
    const part_history remaining = WithoutExplained(history, waiting);
    if (IsEnough(remaining)) {
      const std::vector<part_key> common = CommonParts(remaining);
      if (!wait || IsDue(remaining, common, now)) {
        return accusation{common, remaining.crashes.front()->at};
      }
    }
    waiting.push_back(history);
  }
  return std::nullopt;
}

}  // namespace skylarkcroft
