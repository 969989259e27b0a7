#include "skylarkcroft/placement/skylarkcroft_upstream_paces.h"

#include <algorithm>
#include <cmath>

namespace skylarkcroft {
namespace {

// An answer is late beyond this multiple of the expected time. Transient
// slowdowns alone double it.
constexpr double kLateFactor = 4;
// With cold caches the shared parts of prompts are prefilled too.
constexpr double kColdLateFactor = 8;

}  // namespace

double upstream_paces::FirstLimit(const pace_start& start) const {
  const double growth =
      std::max(1.0, static_cast<double>(start.nodes) /
                        static_cast<double>(parameters_.nodes_of_first_share));
  return std::max<double>(parameters_.first_min,
                          growth * parameters_.first_share * start.slots);
}

void upstream_paces::Start(const pace_start& start) {
  pace& one = paces_[start.key];
  one = {};
  one.start = start;
  one.limit = FirstLimit(start);
}

void upstream_paces::AddCredit(pace& one, double amount) const {
  const double bound = one.start.slots;
  one.credit = std::clamp(one.credit + amount, -bound, bound);
}

void upstream_paces::RecordAnswer(uint32_t key, milliseconds waited,
                                  milliseconds expected, time_point now) {
  const auto found = paces_.find(key);
  if (found == paces_.end() || found->second.ended_at.has_value()) {
    return;
  }
  pace& one = found->second;
  const bool cold = now - one.start.at < one.start.cold;
  const double limit_ms = (cold ? kColdLateFactor : kLateFactor) *
                          static_cast<double>(expected.count());
  const bool late = static_cast<double>(waited.count()) > limit_ms;
  AddCredit(one, late ? -parameters_.late_fall : parameters_.rise);
}

void upstream_paces::RecordRejection(uint32_t key, time_point now) {
  const auto found = paces_.find(key);
  if (found == paces_.end() || found->second.ended_at.has_value()) {
    return;
  }
  pace& one = found->second;
  one.rejected_at = now;
  AddCredit(one, -(1 + parameters_.rejection_fall_share * one.limit));
}

bool upstream_paces::IsOver(const pace& one, time_point now) const {
  const bool quiet = !one.rejected_at.has_value() ||
                     now - *one.rejected_at > parameters_.quiet_time;
  return one.limit >= one.start.slots ||
         (quiet && now - one.start.at >= parameters_.max_time);
}

std::vector<pace_change> upstream_paces::Update(const peers_fn& peers,
                                                time_point now) {
  updated_at_ = now;
  std::vector<pace_change> changes;
  for (auto& [key, one] : paces_) {
    if (one.ended_at.has_value()) {
      continue;
    }
    const pace_of_peers theirs = peers(key);
    const double first = FirstLimit(one.start);
    one.limit = std::clamp<double>(first + one.credit + theirs.credit, 1,
                                   one.start.slots);
    if (one.start.for_this_node && theirs.running >= first) {
      one.limit = one.start.slots;
    }
    const bool over = IsOver(one, now);
    if (over) {
      one.ended_at = now;
    }
    if (over || !one.told) {
      changes.push_back({one.start.id, !over, one.limit});
      one.told = true;
    }
  }
  std::erase_if(paces_, [&](const auto& one) {
    return one.second.ended_at.has_value() &&
           now - *one.second.ended_at > parameters_.report_after_end;
  });
  return changes;
}

const upstream_paces::pace* upstream_paces::Find(uint32_t key) const {
  const auto found = paces_.find(key);
  const bool in_force =
      found != paces_.end() && !found->second.ended_at.has_value();
  return in_force ? &found->second : nullptr;
}

std::optional<double> upstream_paces::Limit(uint32_t key) const {
  const pace* one = Find(key);
  return one == nullptr ? std::nullopt : std::optional<double>(one->limit);
}

double upstream_paces::OwnCredit(uint32_t key) const {
  const auto found = paces_.find(key);
  return found == paces_.end() ? 0 : found->second.credit;
}

}  // namespace skylarkcroft
