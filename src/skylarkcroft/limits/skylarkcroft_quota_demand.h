#ifndef SKYLARKCROFT_LIMITS_SKYLARKCROFT_QUOTA_DEMAND_H_
#define SKYLARKCROFT_LIMITS_SKYLARKCROFT_QUOTA_DEMAND_H_

#include <cstddef>
#include <map>
#include <string>

#include "skylarkcroft/internal/skylarkcroft_time.h"
#include "skylarkcroft/placement/skylarkcroft_decaying_sum.h"

namespace skylarkcroft {

/// What one report shows of a peer's demand.
struct peer_demand_report {
  double total = 0;  ///< Tokens that the process was asked for since its start.
  bool is_early = false;       ///< Sent before the end of the report period.
  bool reports_early = false;  ///< The peer reports its next grants early.
  /// Time since the start of the process; 0 when unknown.
  double uptime_seconds = 0;
};

/// Estimates the demand of one workspace over all nodes, granted and rejected,
/// in tokens a second, from what this node is asked for and what its peers
/// report.
///
/// Averages come from regular reports only, because early ones are sent when
/// the demand happens to be high. The difference between what all reports show
/// and these averages is added for a short time, so that a jump is seen soon.
class quota_demand {
 public:
  void AddOwn(double amount, time_point now);
  void AddPeer(const std::string& peer, const peer_demand_report& report,
               time_point now);
  /// A peer that no longer reports.
  void ForgetPeer(const std::string& peer);

  /// Tokens a second that this node, and its peers, are asked for.
  [[nodiscard]] double OwnRate(time_point now) const;
  [[nodiscard]] double PeerRate(time_point now) const;
  /// Age of the peers' reports in seconds, weighted by their demand; for a peer
  /// that reports early, the delay until it does.
  [[nodiscard]] double ReportAge(time_point now) const;
  /// Total of the tokens that this process was asked for.
  [[nodiscard]] double total() const { return total_; }

 private:
  static constexpr milliseconds kAverageHalfLife{1000};
  static constexpr milliseconds kDeviationHalfLife{500};

  struct peer_average {
    double tokens = 0;   ///< Decays with kAverageHalfLife.
    double seconds = 0;  ///< Decays likewise.
    bool reports_early = false;
    double last_total = 0;
    time_point last_report{};
    double last_regular_total = 0;
    time_point last_regular_report{};

    [[nodiscard]] double Rate() const {
      return seconds > 0 ? tokens / seconds : 0;
    }
  };

  static void AddRegularReport(peer_average& average, double total,
                               time_point now);
  /// Adds a peer's part to the sums below, or removes it with `sign` -1.
  void Count(const peer_average& average, double sign);

  double total_ = 0;
  decaying_sum own_average_{kAverageHalfLife};
  std::map<std::string, peer_average> peers_;
  double peer_rate_ = 0;  ///< Sum of the peers' averages.
  /// Tokens by which the peers' demand exceeded the averages.
  decaying_sum deviation_{kDeviationHalfLife};
  /// Of the peers that do not report early: the sum of their rates, and the sum
  /// of the products of rate and time of the last report.
  double late_rate_ = 0;
  double late_rate_seconds_ = 0;
};

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_LIMITS_SKYLARKCROFT_QUOTA_DEMAND_H_
