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
#include "skylarkcroft/admission/skylarkcroft_slot_rate.h"

namespace skylarkcroft {

/// What holds for a pool at the time of a decision.
struct pool_terms {
  int64_t capacity = 0;
  rank_policies policies;
  size_t max_queued = 0;

  bool operator==(const pool_terms&) const = default;
};

using delivered_tokens_fn = std::function<int64_t(const std::string&)>;

/// Ranked admission for one pool.
class pool_admission {
 public:
  std::optional<refusal> Submit(const work_item& item, const pool_terms& terms,
                                time_point now);
  void Finish(const std::string& request_id, int64_t actual_tokens,
              time_point now);
  /// Appends what it decides to `decision`.
  void Dispatch(const pool_terms& terms,
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
    double served = 0;
  };

  rank_state& StateOf(const work_item& item);
  [[nodiscard]] rank_standings Standings(const pool_terms& terms) const;
  [[nodiscard]] duration ExpectedWait(const work_item& item,
                                      const pool_terms& terms) const;
  [[nodiscard]] std::chrono::seconds RetryAfter(const work_item& item,
                                                const pool_terms& terms) const;
  /// Makes room in a full queue; a reason when `item` is the one to refuse.
  std::optional<refusal> MakeRoom(const work_item& item,
                                  const pool_terms& terms);
  void Enqueue(const work_item& item, time_point now);
  /// Starts the next of a rank's queue, and refuses those before it that are
  /// too late.
  void StartNext(rank value, const pool_terms& terms, time_point now,
                 dispatch_decision& decision);
  void Start(const queued_item& entry, double share, time_point now);
  /// Starts requests while slots are free.
  void FillSlots(const pool_terms& terms, time_point now,
                 dispatch_decision& decision);
  /// Stops one running request in favour of `taker`; false when none may be.
  bool PreemptFor(rank taker, const pool_terms& terms,
                  const delivered_tokens_fn& delivered_tokens, time_point now,
                  dispatch_decision& decision);
  [[nodiscard]] std::vector<preemption_candidate> CandidatesFor(
      rank taker, const pool_terms& terms,
      const delivered_tokens_fn& delivered_tokens) const;

  std::array<rank_state, kRankCount> ranks_;
  std::unordered_map<std::string, running_item> running_;
  std::unordered_map<std::string, work_item> waiting_;
  std::vector<late_refusal> evicted_;
  slot_rate rate_;
  preemption_limiter limiter_;
  double virtual_time_ = 0;
};

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_ADMISSION_SKYLARKCROFT_POOL_ADMISSION_H_
