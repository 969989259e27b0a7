#ifndef SKYLARKCROFT_ADMISSION_SKYLARKCROFT_ADMISSION_H_
#define SKYLARKCROFT_ADMISSION_SKYLARKCROFT_ADMISSION_H_

#include <array>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "skylarkcroft/http/skylarkcroft_refusal_reason.h"
#include "skylarkcroft/internal/skylarkcroft_time.h"
#include "skylarkcroft/tables/skylarkcroft_rank.h"

namespace skylarkcroft {

/// A request as admission sees it.
struct work_item {
  std::string request_id;
  std::string caller_name;
  double caller_weight = 1.0;
  std::string pool;
  rank work_rank = rank::kNormal;
  /// Prompt tokens and expected output together; 1 for a plain service.
  int64_t estimated_tokens = 1;
  /// Part of `estimated_tokens` that is prompt.
  int64_t prompt_tokens = 0;
  /// True when it may be stopped and go on later from the tokens delivered.
  bool preemptible = false;
  time_point deadline{};

  bool operator==(const work_item&) const = default;
};

/// Why a request was turned away, and when it may be tried again.
struct refusal {
  refusal_reason reason = refusal_reason::kQueueFull;
  std::optional<std::chrono::seconds> retry_after;

  bool operator==(const refusal&) const = default;
};

/// A queued request that was turned away later.
struct late_refusal {
  std::string request_id;
  refusal why;

  bool operator==(const late_refusal&) const = default;
};

/// What a call to Dispatch() decided.
struct dispatch_decision {
  /// Requests that start now, in this order.
  std::vector<std::string> start;
  std::vector<late_refusal> refused;
  /// Running requests to cancel and queue again, to make room for a rank below
  /// its guaranteed share.
  std::vector<std::string> preempt;

  bool operator==(const dispatch_decision&) const = default;
};

/// One rank's part in a pool.
struct rank_counts {
  int64_t running = 0;
  int64_t queued = 0;
  /// Preemptions since the start.
  int64_t preempted = 0;

  bool operator==(const rank_counts&) const = default;
};

/// What runs and waits in a pool.
struct pool_counts {
  std::array<rank_counts, kRankCount> ranks;

  [[nodiscard]] int64_t running() const;
  [[nodiscard]] int64_t queued() const;

  bool operator==(const pool_counts&) const = default;
};

/// Decides which requests run, wait, or are refused on this node.
class admission {
 public:
  virtual ~admission() = default;

  /// Queues `item`, or tells why it is refused at once.
  virtual std::optional<refusal> Submit(const work_item& item,
                                        time_point now) = 0;
  /// Notes that a started or queued request has ended, with the tokens that it
  /// really cost.
  virtual void Finish(const std::string& request_id, int64_t actual_tokens,
                      time_point now) = 0;
  /// Decides what starts now. Called after every Submit and Finish, and at
  /// least every kDispatchPeriod.
  virtual dispatch_decision Dispatch(time_point now) = 0;
  /// All zero for an unknown pool.
  [[nodiscard]] virtual pool_counts Counts(const std::string& pool) const = 0;
  [[nodiscard]] int64_t Running(const std::string& pool) const {
    return Counts(pool).running();
  }
  [[nodiscard]] int64_t Queued(const std::string& pool) const {
    return Counts(pool).queued();
  }
};

/// Longest time between two calls of Dispatch().
inline constexpr milliseconds kDispatchPeriod{20};

/// Requests that this node may have running in a pool at once.
using pool_capacity_fn =
    std::function<int64_t(const std::string& pool, time_point now)>;

using rank_policies = std::array<rank_policy, kRankCount>;

/// What ranked admission asks of its surroundings.
struct ranked_hooks {
  pool_capacity_fn capacity;
  /// Policies of the ranks in the routes table in force.
  std::function<rank_policies()> policies;
  /// Tokens of a running request that its caller has got so far.
  std::function<int64_t(const std::string& request_id)> delivered_tokens;
};

/// Guaranteed shares of the ranks, fair queueing over callers within a rank,
/// preemption, and refusal of work that cannot be served in time.
/// `max_queued` bounds the queue of each rank in each pool.
std::unique_ptr<admission> MakeRankedAdmission(ranked_hooks hooks,
                                               size_t max_queued);

/// The most urgent rank first, in order of arrival, without shares and without
/// preemption; a baseline.
std::unique_ptr<admission> MakeStrictAdmission(pool_capacity_fn capacity,
                                               size_t max_queued);

/// First come, first served over all ranks and callers, with one bounded queue
/// a pool; the baseline.
std::unique_ptr<admission> MakeFifoAdmission(pool_capacity_fn capacity,
                                             size_t max_queued);

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_ADMISSION_SKYLARKCROFT_ADMISSION_H_
