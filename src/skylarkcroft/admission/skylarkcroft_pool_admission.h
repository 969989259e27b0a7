#ifndef SKYLARKCROFT_ADMISSION_SKYLARKCROFT_POOL_ADMISSION_H_
#define SKYLARKCROFT_ADMISSION_SKYLARKCROFT_POOL_ADMISSION_H_

#include <array>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "skylarkcroft/admission/skylarkcroft_admission.h"
#include "skylarkcroft/admission/skylarkcroft_caller_queue.h"
#include "skylarkcroft/admission/skylarkcroft_preemption.h"
#include "skylarkcroft/admission/skylarkcroft_rank_order.h"
#include "skylarkcroft/admission/skylarkcroft_slot_throughput.h"

namespace skylarkcroft {

/// Limits and policies of a pool at the time of a decision.
struct pool_limits {
  int64_t capacity = 0;
  rank_policies policies;
  size_t max_queued = 0;

  bool operator==(const pool_limits&) const = default;
};

using delivered_tokens_fn = std::function<int64_t(const std::string&)>;

/// Ranked admission for one pool.
class pool_admission {
 public:
  std::optional<rejection> Submit(const work_item& item,
                                  const pool_limits& limits, time_point now);
  void Finish(const std::string& request_id, int64_t actual_tokens,
              time_point now);
  /// Appends the requests to start, reject and preempt to `decision`.
  void Dispatch(const pool_limits& limits,
                const delivered_tokens_fn& delivered_tokens, time_point now,
                dispatch_decision& decision);
  [[nodiscard]] pool_counts Counts() const;

 private:
  struct running_item {
    queued_item entry;
    time_point started_at{};
  };
  struct rank_state {
    caller_queue queue;
    int64_t running = 0;
    int64_t preempted = 0;
    double served_tokens_per_share = 0;
  };

  rank_state& RankStateOf(const work_item& item);
  [[nodiscard]] rank_loads RankLoads(const pool_limits& limits) const;
  [[nodiscard]] duration ExpectedWait(const work_item& item,
                                      const pool_limits& limits) const;
  [[nodiscard]] std::chrono::seconds RetryAfter(
      const work_item& item, const pool_limits& limits) const;
  /// Makes room in a full queue by evicting another request, or returns why
  /// `item` itself is rejected.
  std::optional<rejection> MakeRoom(const work_item& item,
                                    const pool_limits& limits);
  void Enqueue(const work_item& item, time_point now);
  /// Starts the next request of a rank, and rejects those ahead of it that are
  /// too late.
  void StartNext(rank value, const pool_limits& limits, time_point now,
                 dispatch_decision& decision);
  void Start(const queued_item& entry, double share, time_point now);
  /// Starts requests while slots are free.
  void FillSlots(const pool_limits& limits, time_point now,
                 dispatch_decision& decision);
  /// Stops one running request in favor of `preemptor`; false when none may be
  /// stopped.
  bool PreemptFor(rank preemptor, const pool_limits& limits,
                  const delivered_tokens_fn& delivered_tokens, time_point now,
                  dispatch_decision& decision);
  [[nodiscard]] std::vector<preemption_candidate> PreemptionCandidates(
      rank preemptor, const pool_limits& limits,
      const delivered_tokens_fn& delivered_tokens) const;

  std::array<rank_state, kRankCount> ranks_;
  std::unordered_map<std::string, running_item> running_;
  std::unordered_map<std::string, work_item> waiting_;
  std::vector<rejected_request> evicted_;
  slot_throughput throughput_;
  preemption_limiter preemption_limiter_;
  double virtual_time_ = 0;
};

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_ADMISSION_SKYLARKCROFT_POOL_ADMISSION_H_
