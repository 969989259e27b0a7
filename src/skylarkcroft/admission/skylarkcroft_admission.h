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

/// A request as the admission control sees it.
struct work_item {
  std::string request_id;
  std::string caller_name;
  double caller_weight = 1.0;
  std::string pool;
  rank work_rank = rank::kNormal;
  /// Prompt tokens plus expected output tokens; 1 for a plain service.
  int64_t estimated_tokens = 1;
  /// Prompt tokens within `estimated_tokens`.
  int64_t prompt_tokens = 0;
  /// True when the request may be stopped and resumed later after the tokens
  /// already delivered.
  bool preemptible = false;
  time_point deadline{};

  bool operator==(const work_item&) const = default;
};

/// Why a request was rejected, and when the client may send it again.
struct rejection {
  refusal_reason reason = refusal_reason::kQueueFull;
  std::optional<std::chrono::seconds> retry_after;

  bool operator==(const rejection&) const = default;
};

/// A request that was accepted into the queue and rejected later.
struct rejected_request {
  std::string request_id;
  rejection details;

  bool operator==(const rejected_request&) const = default;
};

/// Result of a call to Dispatch().
struct dispatch_decision {
  /// Requests to start now, in this order.
  std::vector<std::string> start;
  std::vector<rejected_request> rejected;
  /// Running requests to stop and put back into the queue, in favor of a rank
  /// that is below its guaranteed share.
  std::vector<std::string> preempt;

  bool operator==(const dispatch_decision&) const = default;
};

/// Request counts of one rank in a pool.
struct rank_counts {
  int64_t running = 0;
  int64_t queued = 0;
  /// Preemptions since the process started.
  int64_t preempted = 0;

  bool operator==(const rank_counts&) const = default;
};

/// Request counts of a pool, by rank.
struct pool_counts {
  std::array<rank_counts, kRankCount> ranks;

  [[nodiscard]] int64_t running() const;
  [[nodiscard]] int64_t queued() const;

  bool operator==(const pool_counts&) const = default;
};

/// Decides which requests run, wait, or are rejected on this node.
class admission {
 public:
  virtual ~admission() = default;

  /// Queues `item`, or returns why it is rejected immediately.
  virtual std::optional<rejection> Submit(const work_item& item,
                                          time_point now) = 0;
  /// Records that a running or queued request has ended, with the tokens that
  /// it actually used.
  virtual void Finish(const std::string& request_id, int64_t actual_tokens,
                      time_point now) = 0;
  /// Decides which requests start now. Called after every Submit and Finish,
  /// and at least every kDispatchPeriod.
  virtual dispatch_decision Dispatch(time_point now) = 0;
  /// All counts are 0 for an unknown pool.
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

/// Returns how many requests this node may have running in `pool` at once.
using pool_capacity_fn =
    std::function<int64_t(const std::string& pool, time_point now)>;

using rank_policies = std::array<rank_policy, kRankCount>;

/// Functions through which ranked admission reads the state of the node.
struct ranked_hooks {
  pool_capacity_fn capacity;
  /// Rank policies of the active routes table.
  std::function<rank_policies()> policies;
  /// Output tokens of a running request that were delivered to its client so
  /// far.
  std::function<int64_t(const std::string& request_id)> delivered_tokens;
};

/// Gives each rank its guaranteed share, queues fairly by caller within a rank,
/// preempts, and rejects requests that cannot be served in time. `max_queued`
/// bounds the queue of each rank in each pool.
std::unique_ptr<admission> MakeRankedAdmission(ranked_hooks hooks,
                                               size_t max_queued);

/// Baseline for comparison: the most urgent rank first, in order of arrival
/// within a rank, without guaranteed shares or preemption.
std::unique_ptr<admission> MakeStrictAdmission(pool_capacity_fn capacity,
                                               size_t max_queued);

/// Baseline for comparison: first come, first served over all ranks and
/// callers, with one queue of at most `max_queued` requests per pool.
std::unique_ptr<admission> MakeFifoAdmission(pool_capacity_fn capacity,
                                             size_t max_queued);

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_ADMISSION_SKYLARKCROFT_ADMISSION_H_
