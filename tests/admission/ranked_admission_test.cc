#include <catch2/catch.hpp>

#include "tests/admission/admission_fixture.h"

namespace skylarkcroft {

TEST_CASE(
    "A rank below its share preempts the request with the lowest loss, after "
    "the preemption delay",
    "[admission][preemption]") {
  admission_simulation run(4);
  std::vector<work_item> batch;
  for (int index = 0; index < 4; ++index) {
    batch.push_back(run.Item("night", rank::kBatch));
    run.delivered[batch.back().request_id] = 10 * (4 - index);
    run.Submit(batch.back());
  }
  run.Dispatch();
  const work_item urgent = run.Item("driver", rank::kUrgent);
  run.Submit(urgent);
  CHECK(run.Dispatch().preempt.empty());
  run.now += milliseconds(150);
  const dispatch_decision decision = run.Dispatch();
  CHECK(decision.preempt == std::vector<std::string>{batch[3].request_id});
  CHECK(decision.start == std::vector<std::string>{urgent.request_id});
  CHECK(run.admission_under_test->Running(kPool) == 4);
  CHECK(run.admission_under_test->Counts(kPool)
            .ranks[IndexOf(rank::kBatch)]
            .preempted == 1);

  SECTION("and the preempted request is resumed when a slot is free") {
    run.admission_under_test->Finish(batch[0].request_id, kItemTokens, run.now);
    CHECK(run.Dispatch().start ==
          std::vector<std::string>{batch[3].request_id});
  }
  SECTION("and the slot is not preempted back") {
    run.now += std::chrono::hours(1);
    CHECK(run.Dispatch().preempt.empty());
  }
}

TEST_CASE("Requests that are not preemptible are not preempted",
          "[admission][preemption]") {
  admission_simulation run(2);
  for (int index = 0; index < 2; ++index) {
    work_item item = run.Item("night", rank::kBatch);
    item.preemptible = false;
    run.Submit(item);
  }
  run.Dispatch();
  run.Submit(run.Item("driver", rank::kUrgent));
  run.now += milliseconds(1000);
  CHECK(run.Dispatch().preempt.empty());
}

TEST_CASE("A rank that has its guaranteed share does not preempt",
          "[admission][preemption]") {
  admission_simulation run(5);
  for (int index = 0; index < 2; ++index) {
    run.Submit(run.Item("driver", rank::kUrgent));
  }
  for (int index = 0; index < 3; ++index) {
    run.Submit(run.Item("night", rank::kBatch));
  }
  run.Dispatch();
  run.Submit(run.Item("driver", rank::kUrgent));
  run.now += milliseconds(1000);
  CHECK(run.Dispatch().preempt.empty());
}

TEST_CASE("Preemptions are limited per request and per second",
          "[admission][preemption]") {
  admission_simulation run(4);
  std::map<std::string, int64_t> preempted;
  int64_t total = 0;
  constexpr int kSteps = 1000;
  for (int step = 0; step < kSteps; ++step) {
    run.Run({{"night", rank::kBatch, 60}}, kStep);
    if (step % 4 == 0) {
      run.Submit(run.Item("driver", rank::kUrgent));
    }
    run.now += milliseconds(110);
    const dispatch_decision decision = run.Dispatch();
    total += static_cast<int64_t>(decision.preempt.size());
    for (const std::string& id : decision.preempt) {
      ++preempted[id];
    }
  }
  CHECK(total > 0);
  // At most two per second of the simulation, and the initial burst.
  CHECK(total <= kSteps * 130 * 2 / 1000 + 2);
  for (const auto& [id, times] : preempted) {
    CHECK(times <= 2);
  }
}

TEST_CASE("A full queue rejects requests of the caller furthest over its share",
          "[admission][bounds]") {
  admission_simulation run(0, 10);
  std::vector<std::string> large;
  for (int index = 0; index < 10; ++index) {
    const work_item item = run.Item("large", rank::kNormal);
    large.push_back(item.request_id);
    REQUIRE_FALSE(run.Submit(item));
  }
  SECTION("a new request of that caller, immediately") {
    const std::optional<rejection> rejected =
        run.Submit(run.Item("large", rank::kNormal));
    REQUIRE(rejected);
    CHECK(rejected->reason == refusal_reason::kOverShare);
    CHECK(rejected->retry_after.has_value());
  }
  SECTION("its newest queued request, when another caller submits one") {
    CHECK_FALSE(run.Submit(run.Item("small", rank::kNormal)));
    CHECK(run.admission_under_test->Queued(kPool) == 10);
    const dispatch_decision decision = run.Dispatch();
    REQUIRE(decision.rejected.size() == 1);
    CHECK(decision.rejected[0].request_id == large.back());
    CHECK(decision.rejected[0].details.reason == refusal_reason::kOverShare);
  }
  SECTION("or the new request when all callers have equal backlogs") {
    admission_simulation equal(0, 2);
    equal.Submit(equal.Item("one", rank::kNormal));
    equal.Submit(equal.Item("two", rank::kNormal));
    const std::optional<rejection> rejected =
        equal.Submit(equal.Item("three", rank::kNormal));
    REQUIRE(rejected);
    CHECK(rejected->reason == refusal_reason::kQueueFull);
  }
}

TEST_CASE(
    "A deadline that the measured throughput cannot meet is rejected at once",
    "[admission][bounds]") {
  admission_simulation run(1);
  run.Run({{"large", rank::kNormal, 4}}, std::chrono::seconds(4));
  work_item item = run.Item("large", rank::kNormal);
  item.deadline = run.now + milliseconds(100);
  const std::optional<rejection> rejected = run.Submit(item);
  REQUIRE(rejected);
  CHECK(rejected->reason == refusal_reason::kDeadlineUnreachable);
  REQUIRE(rejected->retry_after);
  CHECK(*rejected->retry_after >= std::chrono::seconds(1));
}

TEST_CASE("A queued request whose deadline has passed is rejected, not started",
          "[admission][bounds]") {
  admission_simulation run(1);
  run.Submit(run.Item("one", rank::kNormal));
  run.Dispatch();
  work_item late = run.Item("two", rank::kNormal);
  late.deadline = run.now + milliseconds(100);
  run.Submit(late);
  run.now += milliseconds(200);
  run.admission_under_test->Finish("one-1", kItemTokens, run.now);
  const dispatch_decision decision = run.Dispatch();
  CHECK(decision.start.empty());
  REQUIRE(decision.rejected.size() == 1);
  CHECK(decision.rejected[0].details.reason ==
        refusal_reason::kDeadlineUnreachable);
}

TEST_CASE("A late urgent request is rejected in favor of one that is in time",
          "[admission][bounds]") {
  admission_simulation run(1);
  run.Submit(run.Item("one", rank::kUrgent));
  run.Dispatch();
  const work_item late = run.Item("one", rank::kUrgent);
  run.Submit(late);
  run.now += milliseconds(500);
  SECTION("when such a request is queued") {
    const work_item fresh = run.Item("one", rank::kUrgent);
    run.Submit(fresh);
    run.admission_under_test->Finish("one-1", kItemTokens, run.now);
    const dispatch_decision decision = run.Dispatch();
    CHECK(decision.start == std::vector<std::string>{fresh.request_id});
    REQUIRE(decision.rejected.size() == 1);
    CHECK(decision.rejected[0].request_id == late.request_id);
  }
  SECTION("but is started when there is none") {
    run.admission_under_test->Finish("one-1", kItemTokens, run.now);
    CHECK(run.Dispatch().start == std::vector<std::string>{late.request_id});
  }
}

TEST_CASE(
    "Small callers are served promptly while large ones overload the pool",
    "[admission][fairness]") {
  admission_simulation run(8, 200);
  std::vector<offered_load> loads;
  loads.reserve(25);
  for (int index = 0; index < 5; ++index) {
    loads.push_back({"large" + std::to_string(index), rank::kNormal, 10});
  }
  for (int index = 0; index < 20; ++index) {
    loads.push_back(
        {"small" + std::to_string(index), rank::kNormal, 0.2 + 0.01 * index});
  }
  run.Run(loads, std::chrono::seconds(60));
  for (int index = 0; index < 20; ++index) {
    const outcome_counts& small =
        run.by_caller["small" + std::to_string(index)];
    CHECK(small.rejected == 0);
    CHECK(small.longest_wait <= milliseconds(1000));
  }
}

TEST_CASE("The strict baseline starts the most urgent rank first",
          "[admission][strict]") {
  admission_simulation run(1);
  const std::unique_ptr<admission> strict =
      MakeStrictAdmission([](const std::string&, time_point) { return 1; }, 10);
  const work_item batch = run.Item("night", rank::kBatch);
  const work_item urgent = run.Item("driver", rank::kUrgent);
  strict->Submit(batch, run.now);
  strict->Submit(urgent, run.now);
  CHECK(strict->Dispatch(run.now).start ==
        std::vector<std::string>{urgent.request_id});
  strict->Finish(urgent.request_id, kItemTokens, run.now);
  CHECK(strict->Dispatch(run.now).start ==
        std::vector<std::string>{batch.request_id});
}

}  // namespace skylarkcroft
