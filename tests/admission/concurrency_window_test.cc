#include <algorithm>
#include <catch2/catch.hpp>
#include <deque>
#include <vector>

#include "skylarkcroft/admission/skylarkcroft_concurrency_window.h"

namespace skylarkcroft {
namespace {

constexpr int64_t kSlots = 16;
constexpr time_point kStart{std::chrono::hours(1)};

// Nodes that always have queued requests for one pool, whose load reports lag.
// When a node's window shrinks, its running requests fall only as they end.
class shared_pool {
 public:
  explicit shared_pool(size_t nodes) : windows(nodes), running(nodes, 0) {}

  void Step() {
    for (size_t index = 0; index < windows.size(); ++index) {
      pool_sample sample;
      sample.slots = kSlots;
      sample.reported_running = std::min(kSlots, lagged_.front());
      sample.reported_waiting = lagged_.front() - sample.reported_running;
      sample.running = running[index];
      sample.queued = 100;
      windows[index].Update(sample, now_);
      const int64_t ended = running[index] / 3;
      running[index] = std::max(windows[index].limit(), running[index] - ended);
    }
    lagged_.push_back(Total());
    lagged_.pop_front();
    now_ += kSamplePeriod;
  }

  int64_t Total() const {
    int64_t total = 0;
    for (const int64_t requests : running) {
      total += requests;
    }
    return total;
  }

  std::vector<concurrency_window> windows;
  std::vector<int64_t> running;

 private:
  time_point now_ = kStart;
  std::deque<int64_t> lagged_ = {0, 0, 0};
};

}  // namespace

TEST_CASE("A window starts with the node's equal share of the slots",
          "[admission][window]") {
  concurrency_window window;
  pool_sample sample;
  sample.slots = kSlots;
  sample.live_nodes = 4;
  window.Update(sample, kStart);
  CHECK(window.limit() == 4);
  SECTION("and scales with the number of slots") {
    sample.slots = 2 * kSlots;
    window.Update(sample, kStart);
    CHECK(window.limit() == 8);
  }
  SECTION("and with the number of live nodes") {
    sample.live_nodes = 2;
    window.Update(sample, kStart);
    CHECK(window.limit() == 8);
  }
  SECTION("and is zero without slots") {
    sample.slots = 0;
    window.Update(sample, kStart);
    CHECK(window.limit() == 0);
  }
}

TEST_CASE(
    "Nodes that do not know of each other converge on filling the pool without "
    "overloading it",
    "[admission][window]") {
  const size_t nodes = GENERATE(1, 2, 3, 6);
  shared_pool pool(nodes);
  constexpr int kSettlingSteps = 80;
  constexpr int kMeasuredSteps = 400;
  for (int step = 0; step < kSettlingSteps; ++step) {
    pool.Step();
  }
  int64_t sum = 0;
  int64_t most = 0;
  for (int step = 0; step < kMeasuredSteps; ++step) {
    pool.Step();
    sum += std::min(kSlots, pool.Total());
    most = std::max(most, pool.Total());
  }
  CHECK(sum >= kMeasuredSteps * kSlots * 92 / 100);
  CHECK(most <= kSlots * 3 / 2);
}

TEST_CASE("A window does not grow while no request is queued",
          "[admission][window]") {
  concurrency_window window;
  pool_sample sample;
  sample.slots = kSlots;
  sample.live_nodes = 4;
  for (int step = 0; step < 100; ++step) {
    window.Update(sample, kStart + step * kSamplePeriod);
  }
  CHECK(window.limit() == 4);
}

}  // namespace skylarkcroft
