#include <catch2/catch.hpp>

#include "tests/admission/admission_fixture.h"

namespace skylarkcroft {
namespace {

constexpr int64_t kCapacity = 5;
// Requests per second that the pool serves: 5 slots, 600 ms per request.
constexpr double kServedPerS = 5 / 0.6;
constexpr double kSpanS = 60;
constexpr std::chrono::seconds kSpan{60};

}  // namespace

TEST_CASE(
    "The other ranks are served in full while the least urgent rank offers ten "
    "times the capacity",
    "[admission][flood]") {
  admission_simulation run(kCapacity);
  run.Run({{"driver", rank::kUrgent, kServedPerS * 0.16},
           {"summary", rank::kNormal, kServedPerS * 0.28},
           {"night", rank::kBatch, kServedPerS * 10}},
          kSpan);
  const outcome_counts& urgent = run.by_caller["driver"];
  CHECK(urgent.rejected == 0);
  CHECK(urgent.started_in_time >= urgent.submitted - 1);
  const outcome_counts& normal = run.by_caller["summary"];
  CHECK(normal.rejected == 0);
  CHECK(normal.finished >= normal.submitted * 95 / 100);
  // The flood gets the rest of the pool.
  CHECK(run.by_caller["night"].finished >= kServedPerS * 0.5 * kSpanS);
}

TEST_CASE(
    "The other ranks get their guaranteed shares while the urgent rank offers "
    "three times the capacity",
    "[admission][flood]") {
  admission_simulation run(kCapacity);
  run.Run({{"driver", rank::kUrgent, kServedPerS * 3},
           {"summary", rank::kNormal, kServedPerS * 0.6},
           {"night", rank::kBatch, kServedPerS * 0.15}},
          kSpan);
  const outcome_counts& normal = run.by_caller["summary"];
  CHECK(normal.finished >= kServedPerS * 0.4 * 0.95 * kSpanS);
  const outcome_counts& batch = run.by_caller["night"];
  CHECK(batch.rejected == 0);
  CHECK(batch.finished >= batch.submitted * 95 / 100);
  // Most accepted requests start in time; the others are rejected.
  const outcome_counts& urgent = run.by_caller["driver"];
  CHECK(urgent.finished >= kServedPerS * 0.38 * kSpanS);
  CHECK(urgent.started_in_time >= urgent.started * 2 / 3);
  CHECK(urgent.rejected >= urgent.submitted / 2);
}

TEST_CASE("No rank starves on a single slot", "[admission][flood]") {
  admission_simulation run(1);
  run.Run({{"driver", rank::kUrgent, 5},
           {"summary", rank::kNormal, 5},
           {"night", rank::kBatch, 5}},
          kSpan);
  const double served = kSpanS / 0.62;
  CHECK(run.by_caller["driver"].finished >= served * 0.36);
  CHECK(run.by_caller["summary"].finished >= served * 0.36);
  CHECK(run.by_caller["night"].finished >= served * 0.18);
}

TEST_CASE("Unused guaranteed shares are lent to any rank with demand",
          "[admission][flood]") {
  admission_simulation run(kCapacity);
  run.Run({{"night", rank::kBatch, kServedPerS * 2}}, kSpan);
  CHECK(run.by_caller["night"].finished >= kServedPerS * 0.95 * kSpanS);
}

}  // namespace skylarkcroft
