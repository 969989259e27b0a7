#ifndef SKYLARKCROFT_ADMISSION_SKYLARKCROFT_CALLER_QUEUE_H_
#define SKYLARKCROFT_ADMISSION_SKYLARKCROFT_CALLER_QUEUE_H_

#include <cstdint>
#include <deque>
#include <limits>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>

#include "skylarkcroft/admission/skylarkcroft_admission.h"

namespace skylarkcroft {

/// A queued request.
struct queued_item {
  work_item item;
  time_point queued_at{};
  int64_t preemptions = 0;
  /// Tokens that engines have computed for it before it was preempted.
  int64_t used_tokens = 0;

  bool operator==(const queued_item&) const = default;
};

/// Queued requests of one rank in one pool: start-time fair queueing over
/// callers, by tokens and the callers' weights. Requests of one caller keep
/// their order of arrival.
class caller_queue {
 public:
  void Push(const queued_item& entry);
  /// Puts a request that was started before at the front of its caller's
  /// requests. The caller is not charged for it again.
  void Requeue(const queued_item& entry);

  [[nodiscard]] bool empty() const { return size_ == 0; }
  [[nodiscard]] int64_t size() const { return size_; }
  /// Estimated tokens of all queued requests.
  [[nodiscard]] int64_t tokens() const { return tokens_; }

  /// The request that is served next; the queue must not be empty.
  [[nodiscard]] const queued_item& Head() const;
  /// Removes the head and charges its caller with the estimated tokens.
  queued_item Pop();
  /// Removes a queued request without charging its caller.
  std::optional<queued_item> Remove(const std::string& caller_name,
                                    const std::string& request_id);

  /// The caller with the most queued tokens relative to its weight; empty when
  /// the queue is empty.
  [[nodiscard]] std::string CallerWithLargestBacklog() const;
  /// Queued tokens of a caller divided by its weight.
  [[nodiscard]] double BacklogOf(const std::string& caller_name) const;
  /// Removes the newest request of a caller, which must have one queued.
  queued_item EvictNewest(const std::string& caller_name);
  /// Tokens that would be served before `item` if it were queued now.
  [[nodiscard]] double TokensAhead(const work_item& item) const;

  /// Charges the caller of `item` with `tokens` more; a negative number is a
  /// credit.
  void AdjustCharge(const work_item& item, int64_t tokens);
  /// Charges the caller of a request that was started before and ends without
  /// being started again with what it has used, and no longer with its
  /// estimate.
  void SettleCharge(const queued_item& ended);

 private:
  struct waiting_item {
    queued_item entry;
    bool charged = false;
  };
  struct caller_state {
    std::deque<waiting_item> waiting;
    double weight = 1.0;
    int64_t tokens = 0;
    /// Virtual time at which the caller's next request starts.
    double start_tag = std::numeric_limits<double>::lowest();
    /// Set to the next number whenever the caller's queue stops being empty;
    /// orders callers with equal start tags.
    uint64_t activation = 0;
  };
  struct indexed_caller {
    double key = 0;
    uint64_t order = 0;
    std::string name;

    auto operator<=>(const indexed_caller&) const = default;
  };

  /// Lowest start tag that a caller without recent demand can have.
  [[nodiscard]] double MinStartTag() const;
  caller_state& Activate(const work_item& item);
  /// Removes the caller from the sorted indexes, so that its keys may change.
  void RemoveFromIndexes(const std::string& name, const caller_state& state);
  void AddToIndexes(const std::string& name, const caller_state& state);
  void Add(const waiting_item& added, bool at_front);
  queued_item RemoveAt(const std::string& name, size_t position);
  void ForgetIdleCallers();

  std::unordered_map<std::string, caller_state> callers_;
  std::set<indexed_caller> by_start_tag_;
  std::set<indexed_caller> by_backlog_;
  double virtual_time_ = 0;
  /// Exponentially weighted mean of the estimated tokens of a request.
  double mean_request_tokens_ = 0;
  uint64_t activations_ = 0;
  int64_t size_ = 0;
  int64_t tokens_ = 0;
};

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_ADMISSION_SKYLARKCROFT_CALLER_QUEUE_H_
