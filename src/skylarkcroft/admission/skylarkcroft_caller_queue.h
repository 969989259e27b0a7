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

/// A request that waits.
struct queued_item {
  work_item item;
  time_point queued_at{};
  int64_t preemptions = 0;

  bool operator==(const queued_item&) const = default;
};

/// Waiting requests of one rank in one pool: start-time fair queueing over
/// callers, by tokens and the callers' weights. A caller's requests keep their
/// order of arrival.
class caller_queue {
 public:
  void Push(const queued_item& entry);
  /// Puts back a request that was started before; its caller is not charged
  /// for it again.
  void PutBack(const queued_item& entry);

  [[nodiscard]] bool empty() const { return size_ == 0; }
  [[nodiscard]] int64_t size() const { return size_; }
  /// Estimated tokens of all that waits.
  [[nodiscard]] int64_t tokens() const { return tokens_; }

  /// The request whose turn it is; the queue must not be empty.
  [[nodiscard]] const queued_item& Head() const;
  /// Takes the head and charges its caller.
  queued_item Pop();
  /// Takes a waiting request out without a charge.
  std::optional<queued_item> Remove(const std::string& caller_name,
                                    const std::string& request_id);

  /// The caller with most waiting tokens for its weight; empty when none waits.
  [[nodiscard]] std::string LargestCaller() const;
  /// Waiting tokens of a caller divided by its weight.
  [[nodiscard]] double BacklogOf(const std::string& caller_name) const;
  /// Takes out the newest request of a caller that has some waiting.
  queued_item EvictNewest(const std::string& caller_name);
  /// Tokens served before a new `item`, were it queued now.
  [[nodiscard]] double TokensAhead(const work_item& item) const;

  /// Charges `tokens` more, or fewer when negative, for work that has ended.
  void Correct(const work_item& item, int64_t tokens);

 private:
  struct waiting_item {
    queued_item entry;
    bool charged = false;
  };
  struct caller_state {
    std::deque<waiting_item> waiting;
    double weight = 1.0;
    int64_t tokens = 0;
    /// Virtual time at which its next request starts.
    double start_tag = std::numeric_limits<double>::lowest();
    /// Rises with each time that it begins to wait; orders equal tags.
    uint64_t entered = 0;
  };
  struct ordered_caller {
    double key = 0;
    uint64_t order = 0;
    std::string name;

    auto operator<=>(const ordered_caller&) const = default;
  };

  /// Start of a request whose caller has had nothing for long.
  [[nodiscard]] double EarliestTag() const;
  caller_state& Enter(const work_item& item);
  /// Takes the caller out of the orders, so that its keys may change.
  void Unlink(const std::string& name, const caller_state& state);
  void Link(const std::string& name, const caller_state& state);
  void Add(const waiting_item& added, bool in_front);
  queued_item TakeAt(const std::string& name, size_t position);
  void ForgetIdle();

  std::unordered_map<std::string, caller_state> callers_;
  std::set<ordered_caller> by_start_;
  std::set<ordered_caller> by_backlog_;
  double virtual_time_ = 0;
  /// Mean size of the requests of late.
  double mean_tokens_ = 0;
  uint64_t entries_ = 0;
  int64_t size_ = 0;
  int64_t tokens_ = 0;
};

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_ADMISSION_SKYLARKCROFT_CALLER_QUEUE_H_
