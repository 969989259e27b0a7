#ifndef SKYLARKCROFT_LIMITS_SKYLARKCROFT_TOKEN_QUOTAS_H_
#define SKYLARKCROFT_LIMITS_SKYLARKCROFT_TOKEN_QUOTAS_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "skylarkcroft/internal/skylarkcroft_time.h"
#include "skylarkcroft/placement/skylarkcroft_decaying_sum.h"

namespace skylarkcroft {

/// The token limit of one workspace over all nodes; a rate of 0 means no limit.
struct quota_limit {
  double per_second = 0;  ///< Tokens a second.
  double burst = 0;       ///< Capacity of the bucket, in tokens.

  bool operator==(const quota_limit&) const = default;
};

/// What may be granted beyond a limit before the limit counts as violated.
struct quota_tolerance {
  double share = 0;   ///< Fraction of the limit.
  double amount = 0;  ///< Tokens in any window.

  bool operator==(const quota_tolerance&) const = default;
};

/// The limit that nodes enforce. It includes a part of the tolerance, so that
/// requests within the limit are not rejected because the nodes' counts differ.
/// The rest of the tolerance covers what nodes grant before they receive each
/// other's reports, which is more the longer the `report_period` is.
quota_limit WithTolerance(const quota_limit& limit,
                          const quota_tolerance& tolerance,
                          milliseconds report_period);

/// What one node reports to its peers about one workspace.
struct quota_report {
  std::string workspace;
  /// Tokens granted by this process since its start.
  double taken = 0;
  /// Level of the shared bucket as the node knows it, in tokens.
  double level = 0;

  bool operator==(const quota_report&) const = default;
};

struct quota_decision {
  bool granted = false;
  double level = 0;         ///< Tokens in the bucket before the decision.
  milliseconds wait{0};     ///< Until the level suffices; 0 when granted.
  size_t silent_peers = 0;  ///< Peers charged with an even part of the rate.
};

/// One node's replica of the token buckets, one for each workspace, that all
/// nodes share. Every node keeps the whole bucket and charges it with what its
/// peers report. A peer that sends no reports is charged with an even part of
/// the rate.
class token_quotas {
 public:
  /// A bucket starts with the level that peers report. Without such reports it
  /// starts full if `start_full` is set, else with an even part of the burst,
  /// as for a node that joins running nodes.
  explicit token_quotas(bool start_full);

  /// Takes `amount` tokens for a request if the level suffices. `nodes` is the
  /// number of known nodes, including this one and silent peers.
  quota_decision Take(const std::string& workspace, const quota_limit& limit,
                      double amount, size_t nodes, time_point now);
  /// Tokens in the bucket, as Take() would find it.
  double Level(const std::string& workspace, const quota_limit& limit,
               size_t nodes, time_point now);
  /// Returns the tokens taken by a request that did not run.
  void Refund(const std::string& workspace, double amount);
  /// Takes in the reports of a peer. `incarnation` identifies its process,
  /// whose counts start at 0.
  void OnPeerReport(const std::string& peer, int64_t incarnation,
                    const std::vector<quota_report>& reports, time_point now);
  /// Reports to send to the peers; `nodes` as for Take().
  std::vector<quota_report> OwnReports(size_t nodes, time_point now);
  /// A peer that has sent no report for this long is charged with an even part
  /// of the rate.
  void SetPeerTimeout(milliseconds silence) { peer_timeout_ = silence; }

 private:
  struct workspace_bucket {
    quota_limit limit;
    double level = 0;  ///< Tokens; may be negative.
    double taken = 0;  ///< Tokens granted by this process.
    double own_rate = 0;
    /// Tokens that peers reported as taken recently.
    decaying_sum recent_peer_usage{kPeerUsageHalfLife};
    /// Tokens that this node granted recently.
    decaying_sum recent_own_usage{kPeerUsageHalfLife};
    double peers_taken = 0;  ///< All tokens that peers reported as taken.
    int64_t grants = 0;      ///< Requests granted by this process.
    time_point updated{};
    size_t live_nodes = 1;  ///< Nodes that reported, at the last update.
  };
  struct peer_state {
    int64_t incarnation = 0;
    time_point last_report{};
    std::map<std::string, quota_report> reports;
  };

  static constexpr milliseconds kPeerUsageHalfLife{500};

  /// How many nodes reported within the peer timeout, and how old their reports
  /// are.
  struct peer_freshness {
    size_t live_nodes = 1;  ///< Including this node.
    double mean_age_seconds = 0;

    [[nodiscard]] size_t SilentPeers(size_t nodes) const {
      return nodes > live_nodes ? nodes - live_nodes : 0;
    }
  };

  [[nodiscard]] peer_freshness PeerFreshness(time_point now) const;
  /// Estimates the tokens that peers took since their last reports, from the
  /// recent rate that they reported or, when the demand has just risen, from
  /// this node's own rate and its usual share of the workspace's tokens.
  [[nodiscard]] static double EstimateUnreported(
      const workspace_bucket& bucket, const peer_freshness& freshness,
      time_point now);
  /// Lowest level that live peers report; the initial level of a bucket that
  /// this node has not used before. Empty when none reports the workspace.
  [[nodiscard]] std::optional<double> LowestPeerLevel(
      const std::string& workspace, time_point now) const;
  /// Adds what has accrued since the last update, less the part of the rate
  /// that silent peers are charged with.
  void Refill(workspace_bucket& bucket, const peer_freshness& freshness,
              size_t nodes, time_point now) const;
  workspace_bucket& RefilledBucket(const std::string& workspace,
                                   const quota_limit& limit,
                                   const peer_freshness& freshness,
                                   size_t nodes, time_point now);

  // Several report periods, so that a lost datagram does not make a peer count
  // as silent.
  milliseconds peer_timeout_{700};
  bool start_full_;
  /// Whether a peer's report has set the levels of a node that joined.
  bool adopted_peer_level_ = false;
  std::map<std::string, workspace_bucket> buckets_;
  std::map<std::string, peer_state> peers_;
};

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_LIMITS_SKYLARKCROFT_TOKEN_QUOTAS_H_
