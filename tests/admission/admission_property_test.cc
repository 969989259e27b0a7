#include <rapidcheck.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <set>
#include <vector>

#include "tests/admission/admission_fixture.h"

namespace skylarkcroft {
namespace {

constexpr int64_t kSlots = 5;
constexpr size_t kQueueBound = 8;
constexpr const char* kCheckParams = "seed=4 max_success=300 noshrink=1";

// Runs a random schedule and checks that each request is in exactly one of the
// states waiting, running and ended.
class schedule_checker {
 public:
  void Submit(rank work_rank, int caller_number, bool preemptible) {
    work_item item =
        run_.Item("caller" + std::to_string(caller_number), work_rank);
    item.preemptible = preemptible;
    if (run_.admission_under_test->Submit(item, run_.now)) {
      RC_ASSERT(ended_.insert(item.request_id).second);
      return;
    }
    waiting_.insert(item.request_id);
    rank_of_[item.request_id] = work_rank;
  }

  void Finish(size_t position, bool running) {
    std::set<std::string>& from = running ? running_ : waiting_;
    if (from.empty()) {
      return;
    }
    const auto chosen =
        std::next(from.begin(), static_cast<int64_t>(position % from.size()));
    run_.admission_under_test->Finish(*chosen, kItemTokens, run_.now);
    RC_ASSERT(ended_.insert(*chosen).second);
    from.erase(chosen);
  }

  void Dispatch(int64_t elapsed_ms) {
    run_.now += milliseconds(elapsed_ms);
    const dispatch_decision decision =
        run_.admission_under_test->Dispatch(run_.now);
    for (const std::string& id : decision.preempt) {
      RC_ASSERT(running_.erase(id) == 1U);
      waiting_.insert(id);
    }
    for (const rejected_request& rejected : decision.rejected) {
      RC_ASSERT(waiting_.erase(rejected.request_id) == 1U);
      RC_ASSERT(ended_.insert(rejected.request_id).second);
    }
    for (const std::string& id : decision.start) {
      RC_ASSERT(waiting_.erase(id) == 1U);
      RC_ASSERT(running_.insert(id).second);
    }
    CheckCounts();
    CheckNoIdleSlot();
  }

  // Finishes all requests.
  void Drain() {
    while (!waiting_.empty() || !running_.empty()) {
      Finish(0, true);
      const size_t before = waiting_.size() + running_.size();
      Dispatch(0);
      RC_ASSERT(before == 0U || !running_.empty() || waiting_.empty());
    }
  }

 private:
  void CheckCounts() const {
    const pool_counts counts = run_.admission_under_test->Counts(kPool);
    RC_ASSERT(counts.running() <= kSlots);
    RC_ASSERT(counts.running() == static_cast<int64_t>(running_.size()));
    RC_ASSERT(counts.queued() == static_cast<int64_t>(waiting_.size()));
  }

  // Checks that no slot is free while requests are queued.
  void CheckNoIdleSlot() const {
    const pool_counts counts = run_.admission_under_test->Counts(kPool);
    RC_ASSERT(counts.queued() == 0 || counts.running() == kSlots);
  }

  admission_simulation run_{kSlots, kQueueBound};
  std::set<std::string> waiting_;
  std::set<std::string> running_;
  std::set<std::string> ended_;
  std::map<std::string, rank> rank_of_;
};

// Targets and deadlines so long that no request is rejected for being late, so
// that all demand stays in the queues.
rank_policies LongTargetPolicies() {
  rank_policies policies = TestPolicies();
  for (rank_policy& policy : policies) {
    policy.first_token_target = std::chrono::minutes(10);
    policy.deadline = std::chrono::hours(1);
  }
  return policies;
}

rank RandomRank() {
  return kAllRanks[*rc::gen::inRange<size_t>(0, kRankCount)];
}

void RandomStep(schedule_checker& checker) {
  constexpr int kKinds = 5;
  constexpr size_t kPositions = 100;
  constexpr int kCallers = 4;
  const size_t position = *rc::gen::inRange<size_t>(0, kPositions);
  switch (*rc::gen::inRange(0, kKinds)) {
    case 0:
      checker.Finish(position, true);
      break;
    case 1:
      checker.Finish(position, position % 4 != 0);
      break;
    case 2:
      checker.Dispatch(static_cast<int64_t>(position) * 10);
      break;
    default:
      checker.Submit(RandomRank(), *rc::gen::inRange(0, kCallers),
                     *rc::gen::arbitrary<bool>());
  }
}

}  // namespace

TEST_CASE("Each request is in one state, and running requests fit the capacity",
          "[admission][property]") {
  setenv("RC_PARAMS", kCheckParams, 1);
  CHECK(rc::check([] {
    schedule_checker checker;
    const int steps = *rc::gen::inRange(1, 300);
    for (int step = 0; step < steps; ++step) {
      RandomStep(checker);
    }
    checker.Drain();
  }));
}

TEST_CASE(
    "Each rank with demand gets its guaranteed share, whatever the demand of "
    "the others",
    "[admission][property]") {
  setenv("RC_PARAMS", kCheckParams, 1);
  constexpr int64_t kMaxSlots = 12;
  CHECK(rc::check([] {
    const int64_t slots = *rc::gen::inRange<int64_t>(1, kMaxSlots);
    admission_simulation run(slots, 500, LongTargetPolicies());
    const double served = static_cast<double>(slots) / 0.6;
    std::vector<offered_load> loads;
    for (const rank value : kAllRanks) {
      const double factor = *rc::gen::inRange(0, 30) / 10.0;
      loads.push_back({std::string(ToString(value)), value, factor * served});
    }
    constexpr std::chrono::seconds kSpan(40);
    run.Run(loads, kSpan);
    for (const offered_load& load : loads) {
      const double share =
          TestPolicies()[IndexOf(load.work_rank)].guaranteed_share;
      const double due =
          std::min(load.requests_per_s, share * served) * kSpan.count();
      // Allows for requests still queued or running at the end, and for
      // rounding in the steps.
      const double slack = 0.08 * due + 3;
      RC_ASSERT(static_cast<double>(run.by_caller[load.caller_name].started) >=
                due - slack);
    }
  }));
}

}  // namespace skylarkcroft
