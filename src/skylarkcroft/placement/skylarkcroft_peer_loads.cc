#include "skylarkcroft/placement/skylarkcroft_peer_loads.h"

#include <algorithm>
#include <iterator>

namespace skylarkcroft {

void peer_loads::Subtract(const std::vector<peer_upstream_view>& views) {
  for (const peer_upstream_view& view : views) {
    const auto found = sums_.find(view.upstream);
    SubtractLoad(view.load, found->second.load);
    found->second.outcomes.good -= view.outcomes.good;
    found->second.outcomes.bad -= view.outcomes.bad;
  }
}

void peer_loads::Set(const report_part& of,
                     const std::vector<peer_upstream_view>& views,
                     time_point now) {
  peer_state& known = peers_[of.peer];
  for (size_t gone = of.parts; gone < known.size(); ++gone) {
    Subtract(known[gone].views);
  }
  known.resize(std::max(of.parts, of.part + 1));
  part_state& part = known[of.part];
  Subtract(part.views);
  part = {now, views};
  next_expiry_ = std::min(next_expiry_, now + life_);
  for (const peer_upstream_view& view : views) {
    peer_upstream_view& sum = sums_[view.upstream];
    sum.upstream = view.upstream;
    AddLoad(view.load, sum.load);
    sum.outcomes.good += view.outcomes.good;
    sum.outcomes.bad += view.outcomes.bad;
    if (view.quiet < kLongestQuiet) {
      time_point& last = last_bytes_[view.upstream];
      last = std::max(last, now - view.quiet);
    }
  }
}

bool peer_loads::IsSilent(const peer_state& peer, time_point now) const {
  return std::all_of(peer.begin(), peer.end(), [&](const part_state& part) {
    return now - part.heard > life_;
  });
}

void peer_loads::Expire(time_point now) {
  if (now <= next_expiry_) {
    return;
  }
  next_expiry_ = now + life_;
  for (auto at = peers_.begin(); at != peers_.end();) {
    for (part_state& part : at->second) {
      if (now - part.heard <= life_) {
        next_expiry_ = std::min(next_expiry_, part.heard + life_);
        continue;
      }
      Subtract(part.views);
      part.views.clear();
    }
    at = IsSilent(at->second, now) ? peers_.erase(at) : std::next(at);
  }
  if (peers_.empty()) {
    // Upstreams that are gone, and what rounding left.
    sums_.clear();
    last_bytes_.clear();
  }
}

peer_upstream_view peer_loads::At(uint32_t upstream) const {
  const auto found = sums_.find(upstream);
  if (found == sums_.end()) {
    return {upstream, {}, {}, kLongestQuiet};
  }
  peer_upstream_view sum = found->second;
  sum.outcomes.good = std::max(0.0, sum.outcomes.good);
  sum.outcomes.bad = std::max(0.0, sum.outcomes.bad);
  return sum;
}

std::optional<time_point> peer_loads::LastByte(uint32_t upstream) const {
  const auto found = last_bytes_.find(upstream);
  return found == last_bytes_.end() ? std::nullopt
                                    : std::optional<time_point>(found->second);
}

milliseconds peer_loads::MeanAge(time_point now) const {
  duration total{0};
  duration::rep parts = 0;
  for (const auto& [name, peer] : peers_) {
    for (const part_state& part : peer) {
      total += std::min<duration>(now - part.heard, life_);
      ++parts;
    }
  }
  return std::chrono::duration_cast<milliseconds>(
      total / std::max<duration::rep>(parts, 1));
}

milliseconds peer_loads::GreatestAge(time_point now) const {
  duration greatest{0};
  for (const auto& [name, peer] : peers_) {
    for (const part_state& part : peer) {
      greatest =
          std::max(greatest, std::min<duration>(now - part.heard, life_));
    }
  }
  return std::chrono::duration_cast<milliseconds>(greatest);
}

}  // namespace skylarkcroft
