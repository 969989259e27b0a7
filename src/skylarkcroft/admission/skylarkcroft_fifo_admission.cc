#include <deque>
#include <map>
#include <unordered_map>
#include <utility>

#include "skylarkcroft/admission/skylarkcroft_admission.h"

namespace skylarkcroft {
namespace {

class fifo_admission final : public admission {
 public:
  fifo_admission(pool_capacity_fn capacity, size_t max_queued)
      : capacity_(std::move(capacity)), max_queued_(max_queued) {}

  std::optional<rejection> Submit(const work_item& item,
                                  time_point /*now*/) override {
    pool_queue& queue = pools_[item.pool];
    if (queue.waiting.size() >= max_queued_) {
      constexpr std::chrono::seconds kRetryAfter{1};
      return rejection{refusal_reason::kQueueFull, kRetryAfter};
    }
    queue.waiting.push_back(item);
    ++queue.CountsOf(item).queued;
    return std::nullopt;
  }

  void Finish(const std::string& request_id, int64_t /*actual_tokens*/,
              time_point /*now*/) override {
    const auto found = running_.find(request_id);
    if (found != running_.end()) {
      --pools_[found->second.pool].CountsOf(found->second).running;
      running_.erase(found);
      return;
    }
    for (auto& [name, queue] : pools_) {
      RemoveQueued(queue, request_id);
    }
  }

  dispatch_decision Dispatch(time_point now) override {
    dispatch_decision decision;
    for (auto& [name, queue] : pools_) {
      const int64_t capacity = capacity_(name, now);
      while (!queue.waiting.empty() && queue.counts.running() < capacity) {
        StartOrReject(queue, decision, now);
      }
    }
    return decision;
  }

  pool_counts Counts(const std::string& pool) const override {
    const auto found = pools_.find(pool);
    return found == pools_.end() ? pool_counts{} : found->second.counts;
  }

 private:
  struct pool_queue {
    std::deque<work_item> waiting;
    pool_counts counts;

    rank_counts& CountsOf(const work_item& item) {
      return counts.ranks[IndexOf(item.work_rank)];
    }
  };

  static void RemoveQueued(pool_queue& queue, const std::string& request_id) {
    std::erase_if(queue.waiting, [&](const work_item& item) {
      const bool matches = item.request_id == request_id;
      queue.CountsOf(item).queued -= matches ? 1 : 0;
      return matches;
    });
  }

  void StartOrReject(pool_queue& queue, dispatch_decision& decision,
                     time_point now) {
    const work_item item = std::move(queue.waiting.front());
    queue.waiting.pop_front();
    --queue.CountsOf(item).queued;
    if (item.deadline <= now) {
      decision.rejected.push_back(
          {item.request_id, {refusal_reason::kDeadlineUnreachable, {}}});
      return;
    }
    ++queue.CountsOf(item).running;
    running_.emplace(item.request_id, item);
    decision.start.push_back(item.request_id);
  }

  pool_capacity_fn capacity_;
  size_t max_queued_;
  std::map<std::string, pool_queue> pools_;
  std::unordered_map<std::string, work_item> running_;
};

}  // namespace

std::unique_ptr<admission> MakeFifoAdmission(pool_capacity_fn capacity,
                                             size_t max_queued) {
  return std::make_unique<fifo_admission>(std::move(capacity), max_queued);
}

}  // namespace skylarkcroft
