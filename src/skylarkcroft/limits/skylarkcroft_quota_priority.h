#ifndef SKYLARKCROFT_LIMITS_SKYLARKCROFT_QUOTA_PRIORITY_H_
#define SKYLARKCROFT_LIMITS_SKYLARKCROFT_QUOTA_PRIORITY_H_

#include <array>
#include <map>
#include <string>

#include "skylarkcroft/internal/skylarkcroft_time.h"
#include "skylarkcroft/limits/skylarkcroft_return_schedule.h"
#include "skylarkcroft/limits/skylarkcroft_token_quotas.h"
#include "skylarkcroft/placement/skylarkcroft_decaying_sum.h"

namespace skylarkcroft {

/// Shares are fractions of the burst of the workspace's limit, unless stated
/// otherwise.
struct quota_priority_parameters {
  /// Requests are ordered from when the level does not suffice for one, up to
  /// when it is above this share, which no rank needs.
  double stop_share = 0.5;
  /// Step between the levels that one rank and the next less urgent one need.
  /// It is more than the nodes' views of the level are to differ by (a tenth).
  double rank_step = 0.16;
  /// Size about which the requests of a rank are ordered, in tokens: between
  /// short calls (200) and batch prompts (12,000 and more).
  double medium_request_tokens = 4000;
  /// Fraction of the step by which requests of one rank are ordered by size;
  /// the rest is random, so that nodes do not all grant or refuse at once.
  double size_fraction = 0.7;
  /// A rank is granted at least this fraction of the share of requests that is
  /// granted over all ranks; callers need a quarter.
  double min_relative_grants = 0.42;
  /// Half-life of the demand and grants that are remembered. Nodes see few
  /// requests of one workspace in a second.
  milliseconds half_life{4000};
  return_schedule_parameters returns;

  bool operator==(const quota_priority_parameters&) const = default;
};

/// A request that needs tokens of a workspace's quota.
struct quota_request {
  int rank = 0;               ///< 0 is the most urgent.
  double amount = 0;          ///< Tokens.
  milliseconds remaining{0};  ///< Until the client's deadline.
  double draw = 0;         ///< Random number, uniform in [0, 1), for the grant.
  double jitter_draw = 0;  ///< The same, for the wait.

  bool operator==(const quota_request&) const = default;
};

struct quota_priority_decision {
  bool granted = false;
  /// The bucket would have sufficed; tokens are kept for more urgent or smaller
  /// requests.
  bool reserved = false;
  /// Requests of the workspace are granted in order at present, so that the
  /// decision stands for itself.
  bool ordered = false;
  double required_level = 0;  ///< Tokens that had to be in the bucket.
  milliseconds wait{0};       ///< `Retry-After`; 0 when granted.
};

/// Decides which requests of a workspace near its limit are granted: those of
/// more urgent ranks first, and small ones first within a rank. Less urgent and
/// larger requests need a higher level of the workspace's bucket, so that in
/// lasting excess demand the level settles where the first of them are refused
/// and all tokens are still granted. Keeps the recent demand of this node.
class quota_priority {
 public:
  static constexpr int kRanks = 3;

  explicit quota_priority(const quota_priority_parameters& parameters)
      : parameters_(parameters) {}

  /// `level` is the level of the workspace's bucket, in tokens. The caller
  /// takes the tokens if the request is granted.
  quota_priority_decision Decide(const std::string& workspace, double level,
                                 const quota_limit& limit,
                                 const quota_request& request, time_point now);

 private:
  struct rank_demand {
    explicit rank_demand(milliseconds half_life)
        : asked(half_life), granted(half_life) {}
    decaying_sum asked;
    decaying_sum granted;
  };
  struct workspace_demand {
    explicit workspace_demand(const quota_priority_parameters& parameters)
        : granted_tokens(parameters.half_life),
          ranks{rank_demand(parameters.half_life),
                rank_demand(parameters.half_life),
                rank_demand(parameters.half_life)},
          returns(parameters.returns, kRanks) {}
    bool ordered = false;
    decaying_sum granted_tokens;
    std::array<rank_demand, kRanks> ranks;
    return_schedule returns;
  };

  /// Tokens that have to be in the bucket for the request to be granted.
  [[nodiscard]] double RequiredLevel(const workspace_demand& demand,
                                     const quota_limit& limit,
                                     const quota_request& request, int rank,
                                     time_point now) const;
  /// Share of this node's recent requests that was granted.
  [[nodiscard]] static double GrantedShare(const workspace_demand& demand,
                                           time_point now);
  /// Tokens per second granted recently. Returning requests are expected to be
  /// served at this rate, since most bursts end before they are due.
  [[nodiscard]] double ReturnRate(const workspace_demand& demand,
                                  time_point now) const;
  quota_priority_parameters parameters_;
  std::map<std::string, workspace_demand> workspaces_;
};

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_LIMITS_SKYLARKCROFT_QUOTA_PRIORITY_H_
