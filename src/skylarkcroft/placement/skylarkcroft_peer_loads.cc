#include "skylarkcroft/placement/skylarkcroft_peer_loads.h"

#include <algorithm>
#include <iterator>

namespace skylarkcroft {

void peer_loads::Subtract(const std::vector<upstream_report>& reports) {
  for (const upstream_report& report : reports) {
    const auto found = sums_.find(report.key);
    SubtractLoad(report.load, found->second.load);
    found->second.outcomes.successes -= report.outcomes.successes;
    found->second.outcomes.failures -= report.outcomes.failures;
    found->second.speed -= report.speed;
    found->second.pace_credit -= report.pace_credit;
  }
}

void peer_loads::Set(const report_part_id& id,
                     const std::vector<upstream_report>& reports,
                     time_point now) {
  peer_state& parts = peers_[id.peer];
  for (size_t dropped = id.count; dropped < parts.size(); ++dropped) {
    Subtract(parts[dropped].reports);
  }
  parts.resize(std::max(id.count, id.index + 1));
  part_state& part = parts[id.index];
  Subtract(part.reports);
  part = {now, reports};
  next_expiry_ = std::min(next_expiry_, now + max_age_);
  for (const upstream_report& report : reports) {
    upstream_report& sum = sums_[report.key];
    sum.key = report.key;
    AddLoad(report.load, sum.load);
    sum.outcomes.successes += report.outcomes.successes;
    sum.outcomes.failures += report.outcomes.failures;
    sum.speed += report.speed;
    sum.pace_credit += report.pace_credit;
    if (report.time_since_byte < kMaxTimeSinceByte) {
      time_point& last = last_byte_times_[report.key];
      last = std::max(last, now - report.time_since_byte);
    }
  }
}

bool peer_loads::IsExpired(const peer_state& peer, time_point now) const {
  return std::all_of(peer.begin(), peer.end(), [&](const part_state& part) {
    return now - part.received_at > max_age_;
  });
}

void peer_loads::DropExpired(time_point now) {
  if (now <= next_expiry_) {
    return;
  }
  next_expiry_ = now + max_age_;
  for (auto it = peers_.begin(); it != peers_.end();) {
    for (part_state& part : it->second) {
      if (now - part.received_at <= max_age_) {
        next_expiry_ = std::min(next_expiry_, part.received_at + max_age_);
        continue;
      }
      Subtract(part.reports);
      part.reports.clear();
    }
    it = IsExpired(it->second, now) ? peers_.erase(it) : std::next(it);
  }
  if (peers_.empty()) {
    // Drops upstreams that no longer exist and accumulated rounding errors.
    sums_.clear();
    last_byte_times_.clear();
  }
}

upstream_report peer_loads::SumFor(uint32_t upstream) const {
  const auto found = sums_.find(upstream);
  if (found == sums_.end()) {
    return {upstream, {}, {}, kMaxTimeSinceByte, {}, 0};
  }
  upstream_report sum = found->second;
  sum.outcomes.successes = std::max(0.0, sum.outcomes.successes);
  sum.outcomes.failures = std::max(0.0, sum.outcomes.failures);
  return sum;
}

std::optional<time_point> peer_loads::LastByteTime(uint32_t upstream) const {
  const auto found = last_byte_times_.find(upstream);
  return found == last_byte_times_.end()
             ? std::nullopt
             : std::optional<time_point>(found->second);
}

milliseconds peer_loads::MeanAge(time_point now) const {
  duration total{0};
  duration::rep count = 0;
  for (const auto& [name, peer] : peers_) {
    for (const part_state& part : peer) {
      total += std::min<duration>(now - part.received_at, max_age_);
      ++count;
    }
  }
  return std::chrono::duration_cast<milliseconds>(
      total / std::max<duration::rep>(count, 1));
}

milliseconds peer_loads::MaxAge(time_point now) const {
  duration oldest{0};
  for (const auto& [name, peer] : peers_) {
    for (const part_state& part : peer) {
      oldest = std::max(oldest,
                        std::min<duration>(now - part.received_at, max_age_));
    }
  }
  return std::chrono::duration_cast<milliseconds>(oldest);
}

}  // namespace skylarkcroft
