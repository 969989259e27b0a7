#include "skylarkcroft/placement/skylarkcroft_peer_loads.h"

#include <algorithm>

namespace skylarkcroft {

void peer_loads::Subtract(const std::vector<peer_upstream_view>& views) {
  for (const peer_upstream_view& view : views) {
    const auto found = sums_.find(view.upstream);
    SubtractLoad(view.load, found->second.load);
    found->second.outcomes.good -= view.outcomes.good;
    found->second.outcomes.bad -= view.outcomes.bad;
  }
}

void peer_loads::Set(const std::string& peer,
                     const std::vector<peer_upstream_view>& views,
                     time_point now) {
  peer_state& known = peers_[peer];
  Subtract(known.views);
  known.heard = now;
  known.views = views;
  next_expiry_ = std::min(next_expiry_, now + life_);
  for (const peer_upstream_view& view : views) {
    peer_upstream_view& sum = sums_[view.upstream];
    sum.upstream = view.upstream;
    AddLoad(view.load, sum.load);
    sum.outcomes.good += view.outcomes.good;
    sum.outcomes.bad += view.outcomes.bad;
  }
}

void peer_loads::Expire(time_point now) {
  if (now <= next_expiry_) {
    return;
  }
  next_expiry_ = now + life_;
  for (auto at = peers_.begin(); at != peers_.end();) {
    if (now - at->second.heard <= life_) {
      next_expiry_ = std::min(next_expiry_, at->second.heard + life_);
      ++at;
      continue;
    }
    Subtract(at->second.views);
    at = peers_.erase(at);
  }
  if (peers_.empty()) {
    // Upstreams that are gone, and what rounding left.
    sums_.clear();
  }
}

peer_upstream_view peer_loads::At(uint32_t upstream) const {
  const auto found = sums_.find(upstream);
  if (found == sums_.end()) {
    return {upstream, {}, {}};
  }
  peer_upstream_view sum = found->second;
  sum.outcomes.good = std::max(0.0, sum.outcomes.good);
  sum.outcomes.bad = std::max(0.0, sum.outcomes.bad);
  return sum;
}

milliseconds peer_loads::MeanAge(time_point now) const {
  if (peers_.empty()) {
    return milliseconds(0);
  }
  duration total{0};
  for (const auto& [name, peer] : peers_) {
    total += now - peer.heard;
  }
  return std::chrono::duration_cast<milliseconds>(
      total / static_cast<duration::rep>(peers_.size()));
}

milliseconds peer_loads::GreatestAge(time_point now) const {
  duration greatest{0};
  for (const auto& [name, peer] : peers_) {
    greatest = std::max<duration>(greatest, now - peer.heard);
  }
  return std::chrono::duration_cast<milliseconds>(greatest);
}

}  // namespace skylarkcroft
