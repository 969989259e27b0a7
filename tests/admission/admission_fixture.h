#ifndef TESTS_ADMISSION_ADMISSION_FIXTURE_H_
#define TESTS_ADMISSION_ADMISSION_FIXTURE_H_

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <utility>

#include "skylarkcroft/admission/skylarkcroft_admission.h"

namespace skylarkcroft {

inline const std::string kPool = "engines";
inline constexpr milliseconds kStep{20};
inline constexpr milliseconds kServiceTime{600};
/// Additional time of a preempted request, which repeats its prefill.
inline constexpr milliseconds kResumeTime{60};
inline constexpr int64_t kItemTokens = 60;

inline rank_policies TestPolicies() {
  using std::chrono::hours;
  return {{
      {milliseconds(530), milliseconds(30), milliseconds(30000), 10.0, 0.4},
      {milliseconds(2000), milliseconds(60), milliseconds(120000), 3.0, 0.4},
      {milliseconds(60000), milliseconds(500), hours(12), 1.0, 0.2},
  }};
}

/// Requests that one caller submits during a simulation.
struct offered_load {
  std::string caller_name;
  rank work_rank = rank::kNormal;
  double requests_per_s = 0;
  double caller_weight = 1;
};

/// Outcomes of one caller's requests.
struct outcome_counts {
  int64_t submitted = 0;
  int64_t started = 0;
  int64_t finished = 0;
  int64_t rejected = 0;
  int64_t started_in_time = 0;
  duration longest_wait{};
};

/// Runs ranked admission in simulated time against a pool that serves each
/// request in kServiceTime on average.
class admission_simulation {
 public:
  explicit admission_simulation(int64_t capacity, size_t max_queued = 500,
                                rank_policies policies = TestPolicies())
      : capacity_(capacity),
        policies_(policies),
        admission_under_test(MakeRankedAdmission(Hooks(), max_queued)) {}

  ranked_hooks Hooks() {
    return {[this](const std::string&, time_point) { return capacity_; },
            [this] { return policies_; },
            [this](const std::string& id) { return delivered[id]; }};
  }

  work_item Item(const std::string& caller_name, rank work_rank) {
    work_item item;
    item.request_id = caller_name + "-" + std::to_string(next_number_++);
    item.caller_name = caller_name;
    item.pool = kPool;
    item.work_rank = work_rank;
    item.estimated_tokens = kItemTokens;
    item.prompt_tokens = kItemTokens / 2;
    item.preemptible = true;
    item.deadline = now + TestPolicies()[IndexOf(work_rank)].deadline;
    return item;
  }

  std::optional<rejection> Submit(const work_item& item) {
    ++by_caller[item.caller_name].submitted;
    const std::optional<rejection> rejected =
        admission_under_test->Submit(item, now);
    if (rejected) {
      ++by_caller[item.caller_name].rejected;
      return rejected;
    }
    items_.emplace(item.request_id, std::pair(item, now));
    return rejected;
  }

  dispatch_decision Dispatch() {
    dispatch_decision decision = admission_under_test->Dispatch(now);
    for (const std::string& id : decision.preempt) {
      remaining_[id] = ends_at_[id] - now + kResumeTime;
      ends_at_.erase(id);
    }
    for (const rejected_request& rejected : decision.rejected) {
      ++by_caller[items_.at(rejected.request_id).first.caller_name].rejected;
    }
    for (const std::string& id : decision.start) {
      OnStart(id);
    }
    return decision;
  }

  /// For `span`, in steps of kStep: finishes the requests that are due, submits
  /// the offered load and dispatches.
  void Run(const std::vector<offered_load>& loads, duration span) {
    std::map<std::string, double> pending;
    for (const time_point until = now + span; now < until; now += kStep) {
      FinishDue();
      for (const offered_load& load : loads) {
        double& pending_requests = pending[load.caller_name];
        pending_requests +=
            load.requests_per_s * std::chrono::duration<double>(kStep).count();
        for (; pending_requests >= 1; pending_requests -= 1) {
          work_item item = Item(load.caller_name, load.work_rank);
          item.caller_weight = load.caller_weight;
          Submit(item);
        }
      }
      Dispatch();
    }
  }

  time_point now{std::chrono::hours(1)};
  std::map<std::string, int64_t> delivered;
  std::map<std::string, outcome_counts> by_caller;

 private:
  void OnStart(const std::string& id) {
    const auto& [item, submitted_at] = items_.at(id);
    ends_at_[id] =
        now + (remaining_.contains(id) ? remaining_[id] : NextServiceTime());
    outcome_counts& counts = by_caller[item.caller_name];
    const duration waited = now - submitted_at;
    ++counts.started;
    counts.longest_wait = std::max(counts.longest_wait, waited);
    const milliseconds target =
        TestPolicies()[IndexOf(item.work_rank)].first_token_target;
    counts.started_in_time += waited <= target ? 1 : 0;
  }

  // Spreads evenly over three quarters to five quarters of kServiceTime.
  duration NextServiceTime() {
    constexpr int64_t kSpreadMs = 300;
    constexpr int64_t kStrideMs = 137;
    starts_ += kStrideMs;
    return kServiceTime - milliseconds(kSpreadMs / 2) +
           milliseconds(starts_ % kSpreadMs);
  }

  void FinishDue() {
    for (auto next = ends_at_.begin(); next != ends_at_.end();) {
      if (next->second > now) {
        ++next;
        continue;
      }
      ++by_caller[items_.at(next->first).first.caller_name].finished;
      admission_under_test->Finish(next->first, kItemTokens, now);
      next = ends_at_.erase(next);
    }
  }

  int64_t capacity_;
  rank_policies policies_;
  uint64_t next_number_ = 1;
  int64_t starts_ = 0;
  /// Remaining service time of the preempted requests.
  std::map<std::string, duration> remaining_;
  std::map<std::string, std::pair<work_item, time_point>> items_;
  std::map<std::string, time_point> ends_at_;

 public:
  std::unique_ptr<admission> admission_under_test;
};

}  // namespace skylarkcroft

#endif  // TESTS_ADMISSION_ADMISSION_FIXTURE_H_
