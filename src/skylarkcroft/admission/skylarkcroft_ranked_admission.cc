#include <map>
#include <unordered_map>
#include <utility>

#include "skylarkcroft/admission/skylarkcroft_admission.h"
#include "skylarkcroft/admission/skylarkcroft_pool_admission.h"

namespace skylarkcroft {
namespace {

// Whether callers within a rank are queued separately.
enum class caller_fairness { kByCaller, kNone };

class ranked_admission final : public admission {
 public:
  ranked_admission(ranked_hooks hooks, size_t max_queued,
                   caller_fairness fairness)
      : hooks_(std::move(hooks)),
        max_queued_(max_queued),
        fairness_(fairness) {}

  std::optional<rejection> Submit(const work_item& item,
                                  time_point now) override {
    work_item submitted = item;
    if (fairness_ == caller_fairness::kNone) {
      submitted.caller_name.clear();
      submitted.caller_weight = 1;
    }
    const std::optional<rejection> rejected =
        pools_[item.pool].Submit(submitted, LimitsOf(item.pool, now), now);
    if (!rejected) {
      pool_of_[item.request_id] = item.pool;
    }
    return rejected;
  }

  void Finish(const std::string& request_id, int64_t actual_tokens,
              time_point now) override {
    const auto found = pool_of_.find(request_id);
    if (found == pool_of_.end()) {
      return;
    }
    pools_[found->second].Finish(request_id, actual_tokens, now);
    pool_of_.erase(found);
  }

  dispatch_decision Dispatch(time_point now) override {
    dispatch_decision decision;
    for (auto& [name, pool] : pools_) {
      pool.Dispatch(LimitsOf(name, now), hooks_.delivered_tokens, now,
                    decision);
    }
    for (const rejected_request& rejected : decision.rejected) {
      pool_of_.erase(rejected.request_id);
    }
    return decision;
  }

  pool_counts Counts(const std::string& pool) const override {
    const auto found = pools_.find(pool);
    return found == pools_.end() ? pool_counts{} : found->second.Counts();
  }

 private:
  pool_limits LimitsOf(const std::string& pool, time_point now) const {
    return {hooks_.capacity(pool, now), hooks_.policies(), max_queued_};
  }

  ranked_hooks hooks_;
  size_t max_queued_;
  caller_fairness fairness_;
  std::map<std::string, pool_admission> pools_;
  std::unordered_map<std::string, std::string> pool_of_;
};

}  // namespace

std::unique_ptr<admission> MakeRankedAdmission(ranked_hooks hooks,
                                               size_t max_queued) {
  return std::make_unique<ranked_admission>(std::move(hooks), max_queued,
                                            caller_fairness::kByCaller);
}

std::unique_ptr<admission> MakeStrictAdmission(pool_capacity_fn capacity,
                                               size_t max_queued) {
  ranked_hooks hooks;
  hooks.capacity = std::move(capacity);
  hooks.policies = [] {
    // Only the request's own deadline limits how long it waits.
    rank_policy policy;
    policy.first_token_target = std::chrono::hours(24);
    return rank_policies{policy, policy, policy};
  };
  hooks.delivered_tokens = [](const std::string&) { return 0; };
  return std::make_unique<ranked_admission>(std::move(hooks), max_queued,
                                            caller_fairness::kNone);
}

}  // namespace skylarkcroft
