#include "skylarkcroft/peers/skylarkcroft_peer_group.h"

#include <algorithm>
#include <utility>

namespace skylarkcroft {
namespace {

// A node that was cut off from this one may still serve clients; after this
// time it is taken for gone.
constexpr milliseconds kMayBeAtWork{12000};
// Longer than any cut between nodes that is worth waiting for.
constexpr milliseconds kForgotten{600000};

}  // namespace

peer_group::peer_group(std::string self) : self_(std::move(self)) {}

void peer_group::NoteListed(const std::string& name, const endpoint& address,
                            time_point now) {
  if (name == self_) {
    return;
  }
  peer& one = peers_[name];
  if (one.address == address) {
    return;
  }
  one.address = address;
  one.listed = now;
}

bool peer_group::NoteHeard(const std::string& name, const endpoint& address,
                           int64_t incarnation, int64_t sequence, bool leaving,
                           time_point now) {
  if (name == self_) {
    return false;
  }
  peer& one = peers_[name];
  const bool stale =
      incarnation < one.incarnation ||
      (incarnation == one.incarnation && sequence <= one.sequence);
  if (stale) {
    return false;
  }
  one.address = address;
  one.incarnation = incarnation;
  one.sequence = sequence;
  one.leaving = leaving;
  one.heard_ever = true;
  one.heard = now;
  return true;
}

bool peer_group::MayBeAtWork(const peer& one, time_point now) {
  const time_point known = one.heard_ever ? one.heard : one.listed;
  return now - known <= kMayBeAtWork;
}

std::vector<endpoint> peer_group::Targets(time_point now) const {
  std::vector<endpoint> targets;
  for (const auto& [name, one] : peers_) {
    if (MayBeAtWork(one, now)) {
      targets.push_back(one.address);
    }
  }
  return targets;
}

std::vector<endpoint> peer_group::Lost(time_point now) const {
  std::vector<endpoint> targets;
  for (const auto& [name, one] : peers_) {
    const time_point known = one.heard_ever ? one.heard : one.listed;
    if (!one.leaving && !MayBeAtWork(one, now) && now - known <= kForgotten) {
      targets.push_back(one.address);
    }
  }
  return targets;
}

std::vector<std::string> peer_group::Live(time_point now) const {
  std::vector<std::string> names;
  for (const auto& [name, one] : peers_) {
    if (one.heard_ever && !one.leaving && now - one.heard <= live_limit_) {
      names.push_back(name);
    }
  }
  return names;
}

size_t peer_group::Counted(time_point now) const {
  return 1 + static_cast<size_t>(std::count_if(
                 peers_.begin(), peers_.end(), [now](const auto& entry) {
                   return MayBeAtWork(entry.second, now);
                 }));
}

}  // namespace skylarkcroft
