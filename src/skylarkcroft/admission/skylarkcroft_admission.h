#ifndef SKYLARKCROFT_ADMISSION_SKYLARKCROFT_ADMISSION_H_
#define SKYLARKCROFT_ADMISSION_SKYLARKCROFT_ADMISSION_H_

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
  [[nodiscard]] virtual int64_t Running(const std::string& pool) const = 0;
  [[nodiscard]] virtual int64_t Queued(const std::string& pool) const = 0;
};

/// Longest time between two calls of Dispatch().
inline constexpr milliseconds kDispatchPeriod{20};

/// Requests that this node may have running in a pool at once.
using pool_capacity_fn =
    std::function<int64_t(const std::string& pool, time_point now)>;

/// First come, first served over all ranks and callers, with one bounded queue
/// a pool; the baseline.
std::unique_ptr<admission> MakeFifoAdmission(pool_capacity_fn capacity,
                                             size_t max_queued);

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_ADMISSION_SKYLARKCROFT_ADMISSION_H_
