#ifndef SKYLARKCROFT_LIMITS_SKYLARKCROFT_CALLER_LIMITER_H_
#define SKYLARKCROFT_LIMITS_SKYLARKCROFT_CALLER_LIMITER_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "skylarkcroft/internal/skylarkcroft_time.h"
#include "skylarkcroft/limits/skylarkcroft_caller_allocations.h"
#include "skylarkcroft/limits/skylarkcroft_token_bucket.h"

namespace skylarkcroft {

class routes_table;
struct caller_limits;

/// State of the other nodes that matters for dividing the limits.
struct limit_peers {
  /// Published allocations of the nodes that can be reached.
  std::vector<allocations_by_caller> reachable;
  /// Published allocations of the nodes suspected to have failed.
  std::vector<allocations_by_caller> suspect;
  /// Number of nodes that disappeared without having announced that they leave.
  size_t silent = 0;
  /// False when other nodes exist and none was heard from recently.
  bool in_contact = true;
};

/// Enforces this node's allocation of every caller's limits.
class caller_limiter {
 public:
  /// Applies the limits of the effective tables.
  void SetCallers(const routes_table& routes, time_point now);

  /// Admits a request and counts it as in flight; returns empty then. For a
  /// request over a limit, returns the time after which to retry.
  std::optional<duration> Admit(const std::string& caller,
                                int64_t estimated_tokens, time_point now);
  /// False while callers have limits and this node has made too few updates to
  /// have exchanged allocations with the other nodes in both directions.
  [[nodiscard]] bool ready() const;
  /// Ends a request that Admit() admitted, and charges the difference between
  /// actual and estimated tokens.
  void Finish(const std::string& caller, int64_t estimated_tokens,
              int64_t actual_tokens);

  /// Recomputes this node's allocations and returns them for publication. To
  /// be called once per kLimitUpdatePeriod, in which they reach the other
  /// nodes.
  allocations_by_caller Update(const limit_peers& peers, time_point now);

 private:
  struct limit_state {
    double limit = 0;
    limit_allocation own;
    /// Requests or tokens asked for since the last update.
    double requested = 0;
    token_bucket bucket;
  };
  struct caller_state {
    std::array<limit_state, kAllLimits.size()> limits;
    int64_t in_flight = 0;  ///< Admitted and not yet finished.
    /// Requests rejected by the concurrent limit since the last update.
    int64_t rejected = 0;
  };

  void SetLimits(caller_state& state, const caller_limits& limits);
  /// Whether there were enough updates to exchange allocations.
  [[nodiscard]] bool settled() const;
  void SetLimit(limit_state& limit, double new_limit) const;
  /// Updates the smoothed demand; `elapsed` is in seconds.
  static void UpdateDemand(caller_state& state, double elapsed);
  static void UpdateAllocation(limit_state& limit, const std::string& caller,
                               limit_kind kind, const limit_peers& peers);

  std::map<std::string, caller_state> callers_;
  std::optional<time_point> last_update_;
  int updates_ = 0;
  /// Number of nodes known at the last update, including this one.
  size_t node_count_ = 1;
};

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_LIMITS_SKYLARKCROFT_CALLER_LIMITER_H_
