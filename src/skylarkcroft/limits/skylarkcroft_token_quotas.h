#ifndef SKYLARKCROFT_LIMITS_SKYLARKCROFT_TOKEN_QUOTAS_H_
#define SKYLARKCROFT_LIMITS_SKYLARKCROFT_TOKEN_QUOTAS_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "skylarkcroft/internal/skylarkcroft_time.h"
#include "skylarkcroft/limits/skylarkcroft_quota_demand.h"
#include "skylarkcroft/limits/skylarkcroft_unreported_grants.h"

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
  /// Tokens of all requests since the start, granted and rejected. Absent in
  /// reports of versions that do not send it.
  std::optional<double> demand = std::nullopt;
  /// The node sends a report soon after its next grant.
  bool reports_early = false;
  bool is_early = false;  ///< Sent before the end of the report period.

  bool operator==(const quota_report&) const = default;
};

/// What a decision is based on.
enum class quota_source {
  kLevel,   ///< The level alone: all of the demand can be granted from it.
  kDemand,  ///< A part of the requests, since the demand exceeds the limit.
  kAlone,   ///< This node's own bucket, since no peer reports.
};

std::string_view ToString(quota_source source);

struct quota_decision {
  bool granted = false;
  double level = 0;         ///< Tokens in the bucket before the decision.
  milliseconds wait{0};     ///< Until the level suffices; 0 when granted.
  size_t silent_peers = 0;  ///< Peers charged with an even part of the rate.
  quota_source source = quota_source::kLevel;
  double demand_rate = 0;    ///< Estimated over all nodes, in tokens a second.
  double granted_share = 1;  ///< Of the demand, that can be granted at present.
};

/// One node's replica of the token buckets, one for each workspace, that all
/// nodes share. Every node keeps the whole bucket and charges it with what its
/// peers report and with an estimate of what they granted since. A peer that
/// sends no reports is charged with an even part of the rate.
///
/// While the level covers the demand, every request for which it suffices is
/// granted. When the demand exceeds the rate and the level is low, every node
/// grants the same share of its requests, so that the nodes together grant the
/// limit however old their reports are. docs/design/quotas.md has the reasons.
class token_quotas {
 public:
  /// A bucket starts with the level that peers report. Without such reports it
  /// starts full if `start_full` is set, else with an even part of the burst,
  /// as for a node that joins running nodes. Nodes have different `seed`s, so
  /// that they do not grant or reject their first requests alike.
  explicit token_quotas(bool start_full, uint64_t seed = 0);

  /// Takes `amount` tokens for a request if the level suffices. `nodes` is the
  /// number of known nodes, including this one and silent peers.
  quota_decision Take(const std::string& workspace, const quota_limit& limit,
                      double amount, size_t nodes, time_point now);
  /// Takes tokens for a request that the caller has decided to grant, by
  /// Level() and an order of requests of its own.
  void Charge(const std::string& workspace, const quota_limit& limit,
              double amount, size_t nodes, time_point now);
  /// Tokens of the largest request for which the bucket suffices. It includes
  /// what the level may be higher than this node knows.
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
  /// Whether to send reports before the end of the report period, since this
  /// node has granted much that its peers do not know of. At most once per
  /// period on average.
  [[nodiscard]] bool IsEarlyReportDue(time_point now) const;
  /// Reports to send early; uses up the permission.
  std::vector<quota_report> EarlyReports(size_t nodes, time_point now);
  /// A peer that has sent no report for this long is charged with an even part
  /// of the rate.
  void SetPeerTimeout(milliseconds silence) { peer_timeout_ = silence; }
  /// How often nodes report.
  void SetReportPeriod(milliseconds period) { report_period_ = period; }

 private:
  std::vector<quota_report> MakeReports(size_t nodes, bool is_early,
                                        time_point now);

  struct workspace_bucket {
    quota_limit limit;
    /// Tokens, less what peers reported; may be negative.
    double level = 0;
    double taken = 0;    ///< Tokens granted by this process.
    int64_t grants = 0;  ///< Requests granted by this process.
    unreported_grants unreported;
    quota_demand* demand = nullptr;  ///< Points into `demands_`.
    /// Part of a request that may be granted beyond the granted share.
    double credit = 0;
    time_point created{};
    time_point updated{};
    size_t live_nodes = 1;   ///< Nodes that reported, at the last update.
    double silent_rate = 0;  ///< Charged to one silent peer.
  };
  struct peer_state {
    int64_t incarnation = 0;
    time_point last_report{};
    bool live = true;  ///< Reported within the peer timeout.
    std::map<std::string, quota_report> reports;
  };

  /// How many nodes reported within the peer timeout.
  struct peer_freshness {
    size_t live_nodes = 1;  ///< Including this node.

    [[nodiscard]] size_t SilentPeers(size_t nodes) const {
      return nodes > live_nodes ? nodes - live_nodes : 0;
    }
  };

  /// The rates of one workspace at an instant, in tokens a second.
  struct workspace_rates {
    double limit = 0;        ///< Without the parts of silent peers.
    double demand = 0;       ///< Over all nodes.
    double peer_demand = 0;  ///< Over the peers.
    double report_age = 0;   ///< Of the peers' reports, in seconds.
  };

  /// Forgets the demand of peers that have fallen silent.
  peer_freshness UpdateFreshness(time_point now);
  [[nodiscard]] static workspace_rates Rates(const workspace_bucket& bucket,
                                             const peer_freshness& freshness,
                                             size_t nodes, time_point now);
  /// The level less an estimate of the tokens that peers granted since their
  /// last reports.
  [[nodiscard]] static double SharedLevel(const workspace_bucket& bucket,
                                          const workspace_rates& rates);
  void Grant(workspace_bucket& bucket, double amount, time_point now) const;
  /// By how much the level may differ from what this node knows, in tokens.
  [[nodiscard]] static double Uncertainty(const quota_limit& limit,
                                          const peer_freshness& freshness,
                                          const workspace_rates& rates);
  /// Time over which nodes grant what the bucket holds when the demand exceeds
  /// the rate, in seconds.
  [[nodiscard]] static double SpendingSeconds(const workspace_rates& rates);
  [[nodiscard]] double EarlyCredit(time_point now) const;
  /// Tokens that this node may grant beyond what its peers expect before it
  /// sends an early report.
  [[nodiscard]] static double EarlyReportTokens(const workspace_bucket& bucket);
  /// The level in the newest report of a live peer; the initial level of a
  /// bucket that this node has not used before. Older reports miss what was
  /// granted since. Empty when none reports the workspace.
  [[nodiscard]] std::optional<double> NewestPeerLevel(
      const std::string& workspace, time_point now) const;
  /// Charges what a peer granted before its first report, when all nodes start
  /// together with a full bucket.
  static void ChargeFirstReport(workspace_bucket& bucket, double taken,
                                time_point now);
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
  milliseconds report_period_{100};
  bool start_full_;
  std::optional<time_point> started_;  ///< First request or report.
  uint64_t seed_;
  /// Whether a peer's report has set the levels of a node that joined.
  bool adopted_peer_level_ = false;
  std::map<std::string, workspace_bucket> buckets_;
  /// Also of workspaces that only peers have served.
  std::map<std::string, quota_demand> demands_;
  std::map<std::string, peer_state> peers_;
  peer_freshness freshness_;
  time_point freshness_updated_{};
  /// Early reports that may be sent, at `last_early_report_`.
  double early_credit_ = 0;
  time_point last_early_report_{};
};

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_LIMITS_SKYLARKCROFT_TOKEN_QUOTAS_H_
