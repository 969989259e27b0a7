#ifndef SKYLARKCROFT_LIMITS_SKYLARKCROFT_CALLER_LIMITER_H_
#define SKYLARKCROFT_LIMITS_SKYLARKCROFT_CALLER_LIMITER_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "skylarkcroft/internal/skylarkcroft_time.h"
#include "skylarkcroft/limits/skylarkcroft_caller_claims.h"
#include "skylarkcroft/limits/skylarkcroft_token_bucket.h"

namespace skylarkcroft {

class routes_table;
struct caller_limits;

/// The other nodes, as far as the limits are concerned.
struct limit_peers {
  std::vector<claims_by_caller> reachable;
  std::vector<claims_by_caller> suspect;
  /// Nodes removed without having left.
  size_t silent = 0;
  /// False while other nodes exist and none was heard lately.
  bool in_contact = true;
};

/// Enforces this node's part of every caller's limits.
class caller_limiter {
 public:
  /// Takes over the limits of the tables in force.
  void SetCallers(const routes_table& routes, time_point now);

  /// Empty when the request may go on, and then counts it; else the time after
  /// which to try again.
  std::optional<duration> Admit(const std::string& caller,
                                int64_t estimated_tokens, time_point now);
  /// False while callers have limits and this node has not had the time to get
  /// its parts, in which claims go there and back.
  [[nodiscard]] bool ready() const;
  /// Ends a request that Admit() let on.
  void Finish(const std::string& caller, int64_t estimated_tokens,
              int64_t actual_tokens);

  /// Decides this node's parts; to be called once a period in which claims
  /// reach the other nodes. Returns the claims to publish.
  claims_by_caller Update(const limit_peers& peers, time_point now);

 private:
  struct limit_state {
    double limit = 0;
    limit_claim own;
    /// Asked for since the last update.
    double asked = 0;
    token_bucket bucket;
  };
  struct caller_state {
    std::array<limit_state, kAllLimits.size()> limits;
    int64_t running = 0;
    /// Requests over the concurrent limit since the last update.
    int64_t refused = 0;
  };

  void SetLimits(caller_state& state, const caller_limits& limits);
  [[nodiscard]] bool settled() const;
  void SetLimit(limit_state& limit, double wanted) const;
  static void NoteDemand(caller_state& state, double elapsed);
  static void SetPart(limit_state& limit, const std::string& caller,
                      limit_kind kind, const limit_peers& peers);

  std::map<std::string, caller_state> callers_;
  std::optional<time_point> updated_;
  int updates_ = 0;
  /// Nodes known at the last update, with this one.
  size_t nodes_ = 1;
};

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_LIMITS_SKYLARKCROFT_CALLER_LIMITER_H_
