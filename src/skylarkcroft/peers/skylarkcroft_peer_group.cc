#include "skylarkcroft/peers/skylarkcroft_peer_group.h"

#include <algorithm>
#include <utility>

namespace skylarkcroft {
namespace {

// A node that is partitioned from this one may still serve clients; after this
// time without a report it is presumed gone.
constexpr milliseconds kPresumedGoneAfter{12000};
// A peer is forgotten after this time without a report; longer than any network
// partition for which reconnecting is worthwhile.
constexpr milliseconds kForgottenAfter{600000};

// Late datagrams of this many earlier processes of a node are recognized.
constexpr size_t kMaxReplaced = 8;

}  // namespace

peer_group::peer_group(std::string self) : self_(std::move(self)) {}

void peer_group::OnListed(const std::string& name, const endpoint& address,
                          time_point now) {
  if (name == self_) {
    return;
  }
  peer& node = FindOrAdd(name, now);
  if (node.address == address) {
    return;
  }
  node.address = address;
  node.listed_at = now;
}

bool peer_group::OnReport(const std::string& name, const endpoint& address,
                          int64_t incarnation, int64_t sequence,
                          bool is_draining, time_point now) {
  if (name == self_) {
    return false;
  }
  peer& node = FindOrAdd(name, now);
  const bool same_process = incarnation == node.incarnation;
  const bool stale = same_process ? sequence <= node.sequence
                                  : IsReplaced(node, incarnation, now);
  if (stale) {
    return false;
  }
  if (!same_process && node.has_reported) {
    node.replaced.push_back(node.incarnation);
    if (node.replaced.size() > kMaxReplaced) {
      node.replaced.pop_front();
    }
  }
  node.address = address;
  node.incarnation = incarnation;
  node.sequence = sequence;
  node.is_draining = is_draining;
  node.has_reported = true;
  node.reported_at = now;
  return true;
}

peer_group::peer& peer_group::FindOrAdd(const std::string& name,
                                        time_point now) {
  const auto found = peers_.find(name);
  if (found != peers_.end()) {
    return found->second;
  }
  // Nodes are replaced by others under new names.
  std::erase_if(peers_, [now](const auto& entry) {
    return now - LastSeen(entry.second) > kForgottenAfter;
  });
  peer added;
  added.listed_at = now;
  return peers_.emplace(name, std::move(added)).first->second;
}

time_point peer_group::LastSeen(const peer& node) {
  return node.has_reported ? node.reported_at : node.listed_at;
}

bool peer_group::IsReplaced(const peer& node, int64_t incarnation,
                            time_point now) const {
  if (std::find(node.replaced.begin(), node.replaced.end(), incarnation) !=
      node.replaced.end()) {
    return true;
  }
  // Incarnations rise unless the node's clock was set back. Its new process is
  // then heard once the one before is silent.
  return node.has_reported && incarnation < node.incarnation &&
         now - node.reported_at <= live_timeout_;
}

bool peer_group::MayBeServing(const peer& node, time_point now) {
  return now - LastSeen(node) <= kPresumedGoneAfter;
}

std::vector<endpoint> peer_group::ReportTargets(time_point now) const {
  std::vector<endpoint> targets;
  for (const auto& [name, node] : peers_) {
    if (MayBeServing(node, now)) {
      targets.push_back(node.address);
    }
  }
  return targets;
}

std::vector<endpoint> peer_group::PresumedGone(time_point now) const {
  std::vector<endpoint> targets;
  for (const auto& [name, node] : peers_) {
    if (!node.is_draining && !MayBeServing(node, now) &&
        now - LastSeen(node) <= kForgottenAfter) {
      targets.push_back(node.address);
    }
  }
  return targets;
}

std::optional<endpoint> peer_group::AddressOf(const std::string& name) const {
  const auto found = peers_.find(name);
  return found == peers_.end() ? std::nullopt
                               : std::optional(found->second.address);
}

std::vector<std::string> peer_group::LivePeers(time_point now) const {
  std::vector<std::string> names;
  for (const auto& [name, node] : peers_) {
    if (node.has_reported && !node.is_draining &&
        now - node.reported_at <= live_timeout_) {
      names.push_back(name);
    }
  }
  return names;
}

size_t peer_group::NodeCount(time_point now) const {
  return 1 + static_cast<size_t>(std::count_if(
                 peers_.begin(), peers_.end(), [now](const auto& entry) {
                   return MayBeServing(entry.second, now);
                 }));
}

}  // namespace skylarkcroft
