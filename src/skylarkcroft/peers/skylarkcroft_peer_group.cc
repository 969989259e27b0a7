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
  one.listed_at = now;
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
  one.has_reported = true;
  one.reported_at = now;
  return true;
}

bool peer_group::MayBeServing(const peer& one, time_point now) {
  const time_point last_seen =
      one.has_reported ? one.reported_at : one.listed_at;
  return now - last_seen <= kPresumedGoneAfter;
}

std::vector<endpoint> peer_group::Targets(time_point now) const {
  std::vector<endpoint> targets;
  for (const auto& [name, one] : peers_) {
    if (MayBeServing(one, now)) {
      targets.push_back(one.address);
    }
  }
  return targets;
}

std::vector<endpoint> peer_group::Lost(time_point now) const {
  std::vector<endpoint> targets;
  for (const auto& [name, one] : peers_) {
    const time_point last_seen =
        one.has_reported ? one.reported_at : one.listed_at;
    if (!one.leaving && !MayBeServing(one, now) &&
        now - last_seen <= kForgottenAfter) {
      targets.push_back(one.address);
    }
  }
  return targets;
}

std::vector<std::string> peer_group::Live(time_point now) const {
  std::vector<std::string> names;
  for (const auto& [name, one] : peers_) {
    if (one.has_reported && !one.leaving &&
        now - one.reported_at <= live_timeout_) {
      names.push_back(name);
    }
  }
  return names;
}

size_t peer_group::Counted(time_point now) const {
  return 1 + static_cast<size_t>(std::count_if(
                 peers_.begin(), peers_.end(), [now](const auto& entry) {
                   return MayBeServing(entry.second, now);
                 }));
}

}  // namespace skylarkcroft
