#ifndef SKYLARKCROFT_PEERS_SKYLARKCROFT_PEER_GROUP_H_
#define SKYLARKCROFT_PEERS_SKYLARKCROFT_PEER_GROUP_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "skylarkcroft/internal/skylarkcroft_endpoint.h"
#include "skylarkcroft/internal/skylarkcroft_time.h"

namespace skylarkcroft {

/// The other nodes of the deployment, as known from the store's list of nodes
/// and from their reports.
class peer_group {
 public:
  explicit peer_group(std::string self);

  /// Records a node from the store's list; it may have stopped long ago.
  void OnListed(const std::string& name, const endpoint& address,
                time_point now);
  /// Records a report of a peer. Returns false if the report is to be ignored:
  /// it is this node's own, a duplicate or older than one received before, or
  /// of a previous process of that node.
  bool OnReport(const std::string& name, const endpoint& address,
                int64_t incarnation, int64_t sequence, bool is_draining,
                time_point now);

  /// Addresses of the peers that get this node's reports.
  [[nodiscard]] std::vector<endpoint> ReportTargets(time_point now) const;
  /// Empty for a name that is not known.
  [[nodiscard]] std::optional<endpoint> AddressOf(
      const std::string& name) const;
  /// Addresses of peers that are presumed gone. They should get an occasional
  /// report, by which a peer that was only partitioned finds this node again.
  [[nodiscard]] std::vector<endpoint> PresumedGone(time_point now) const;
  /// Names of the peers that reported within the live timeout and are not
  /// draining.
  [[nodiscard]] std::vector<std::string> LivePeers(time_point now) const;
  /// A peer without a report for this long is not live.
  void SetLiveTimeout(milliseconds timeout) { live_timeout_ = timeout; }
  /// Number of nodes that may be serving clients, including this one.
  [[nodiscard]] size_t NodeCount(time_point now) const;
  /// Number of peers that are remembered.
  [[nodiscard]] size_t size() const { return peers_.size(); }

 private:
  struct peer {
    endpoint address;
    int64_t incarnation = 0;
    /// Incarnations of the latest processes before this one.
    std::deque<int64_t> replaced;
    int64_t sequence = 0;
    bool is_draining = false;
    bool has_reported = false;
    time_point reported_at{};
    time_point listed_at{};
  };

  /// The peer of this name. Adding one forgets those that have been away for
  /// long.
  peer& FindOrAdd(const std::string& name, time_point now);
  [[nodiscard]] static time_point LastSeen(const peer& node);
  [[nodiscard]] static bool MayBeServing(const peer& node, time_point now);
  /// Whether a report comes from a process that another has replaced.
  [[nodiscard]] bool IsReplaced(const peer& node, int64_t incarnation,
                                time_point now) const;

  std::string self_;
  milliseconds live_timeout_{700};
  std::map<std::string, peer> peers_;
};

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_PEERS_SKYLARKCROFT_PEER_GROUP_H_
