#ifndef SKYLARKCROFT_LIMITS_SKYLARKCROFT_TOKEN_ALLOTMENTS_H_
#define SKYLARKCROFT_LIMITS_SKYLARKCROFT_TOKEN_ALLOTMENTS_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "skylarkcroft/internal/skylarkcroft_time.h"
#include "skylarkcroft/placement/skylarkcroft_decaying_sum.h"

namespace skylarkcroft {

/// The limit of one workspace over all nodes; a rate of 0 sets none.
struct allotment_limit {
  double per_second = 0;
  double burst = 0;

  bool operator==(const allotment_limit&) const = default;
};

/// What may be granted beyond a limit before it counts as broken.
struct allotment_tolerance {
  double share = 0;   ///< Of the limit.
  double amount = 0;  ///< In any window, in the unit of the limit.

  bool operator==(const allotment_tolerance&) const = default;
};

/// The limit that nodes keep to. A part of the tolerance is used, so that
/// requests within the limit are not refused because the nodes' counts differ;
/// the rest covers what nodes grant before they hear of each other.
allotment_limit WithTolerance(const allotment_limit& limit,
                              const allotment_tolerance& tolerance);

/// What one node tells its peers of one workspace.
struct allotment_report {
  std::string workspace;
  /// Taken since the start of the node.
  double taken = 0;
  /// The common level as the node knows it.
  double level = 0;

  bool operator==(const allotment_report&) const = default;
};

struct allotment_decision {
  bool granted = false;
  double level = 0;         ///< Before the decision.
  milliseconds wait{0};     ///< Until the level suffices; 0 when granted.
  size_t silent_peers = 0;  ///< Peers charged with their even part.
};

/// One node's view of the token buckets that all nodes share. Every node keeps
/// the whole bucket and charges it with what its peers report; a peer that is
/// not heard is charged with an even part of the rate.
class token_allotments {
 public:
  /// A node that joins nodes at work starts with empty buckets.
  explicit token_allotments(bool start_full);

  /// `nodes` counts this one and every known peer, heard or not.
  allotment_decision Take(const std::string& workspace,
                          const allotment_limit& limit, double amount,
                          size_t nodes, time_point now);
  /// Gives back what a request took that did not run.
  void Return(const std::string& workspace, double amount);
  void NotePeer(const std::string& peer, int64_t incarnation,
                const std::vector<allotment_report>& reports, time_point now);
  /// What the peers are to know; `nodes` as for Take().
  std::vector<allotment_report> OwnReports(size_t nodes, time_point now);
  /// A peer not heard for this long is charged with its even part.
  void SetPeerSilence(milliseconds silence) { peer_silence_ = silence; }

 private:
  struct bucket {
    allotment_limit limit;
    double level = 0;
    double taken = 0;
    double own_rate = 0;                        ///< At which the level rises.
    decaying_sum peers_recent{kPeersHalfLife};  ///< What peers took of late.
    time_point updated{};
    size_t silent = 0;  ///< Peers charged with their even part.
  };
  struct peer_state {
    int64_t incarnation = 0;
    time_point heard{};
    std::map<std::string, allotment_report> reports;
  };

  static constexpr milliseconds kPeersHalfLife{500};

  /// Peers heard of late, this node included, and how old their reports are.
  struct hearing {
    size_t heard = 1;
    double mean_age_seconds = 0;

    [[nodiscard]] size_t Silent(size_t nodes) const {
      return nodes > heard ? nodes - heard : 0;
    }
  };

  [[nodiscard]] hearing Hearing(time_point now) const;
  /// What peers are taken to have taken since their last reports.
  [[nodiscard]] static double Unreported(const bucket& one,
                                         const hearing& known, time_point now);
  /// The least level that peers heard of late state; a bucket that this node
  /// had no use for so far begins with it.
  [[nodiscard]] std::optional<double> PeersLevel(const std::string& workspace,
                                                 time_point now) const;
  void Refill(bucket& one, size_t silent, size_t nodes, time_point now) const;
  bucket& Refilled(const std::string& workspace, const allotment_limit& limit,
                   size_t silent, size_t nodes, time_point now);

  // Several reports of a peer, so that one lost datagram is no silence.
  milliseconds peer_silence_{700};
  bool start_full_;
  bool adopted_ = false;
  std::map<std::string, bucket> buckets_;
  std::map<std::string, peer_state> peers_;
};

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_LIMITS_SKYLARKCROFT_TOKEN_ALLOTMENTS_H_
