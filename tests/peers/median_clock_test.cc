#include <catch2/catch.hpp>
#include <cstdlib>
#include <string>
#include <vector>

#include "skylarkcroft/peers/skylarkcroft_median_clock.h"

namespace skylarkcroft {
namespace {

constexpr time_point kStart{std::chrono::seconds(100)};
constexpr int64_t kWallMs = 1700000000000;
constexpr int64_t kStepMs = 2400000;
constexpr milliseconds kReportPeriod{1000};

/// Nodes that tell each other the time once a second.
class clock_fleet {
 public:
  explicit clock_fleet(size_t count) : nodes_(count) {}

  /// Steps the clocks of the first `count` hosts; the odd ones the other way if
  /// `opposite`.
  void Step(size_t count, int64_t by_ms, bool opposite = false) {
    for (size_t i = 0; i < count; ++i) {
      nodes_[i].error_ms += opposite && i % 2 == 1 ? -by_ms : by_ms;
    }
  }
  void Restart(size_t index) { nodes_[index].clock = {}; }
  void Run(milliseconds duration) {
    for (const time_point end = now_ + duration; now_ < end;
         now_ += kReportPeriod) {
      for (node& one : nodes_) {
        one.clock.RecordOwn(TrueMs() + one.error_ms, now_);
      }
      for (size_t from = 0; from < nodes_.size(); ++from) {
        const int64_t told = nodes_[from].clock.OwnMs(now_);
        for (size_t to = 0; to < nodes_.size(); ++to) {
          if (to != from) {
            nodes_[to].clock.OnPeerReport("n" + std::to_string(from), told,
                                          now_);
          }
        }
      }
    }
  }
  /// The largest error of any node's estimate.
  [[nodiscard]] int64_t LargestErrorMs() const {
    int64_t largest = 0;
    for (const node& one : nodes_) {
      largest = std::max<int64_t>(largest,
                                  std::llabs(one.clock.NowMs(now_) - TrueMs()));
    }
    return largest;
  }

 private:
  struct node {
    median_clock clock;
    int64_t error_ms = 0;
  };

  [[nodiscard]] int64_t TrueMs() const {
    return kWallMs + ElapsedMs(kStart, now_);
  }

  std::vector<node> nodes_;
  time_point now_ = kStart;
};

}  // namespace

// Guards against usage windows of the wrong time while most clocks are wrong.
TEST_CASE("A step of most clocks does not change the time of a running fleet",
          "[peers][clock_step][scale][regression]") {
  const size_t count = GENERATE(7U, 63U, 195U);
  const int64_t step = GENERATE(-kStepMs, kStepMs);
  const bool opposite = GENERATE(false, true);
  clock_fleet fleet(count);
  fleet.Run(milliseconds(8000));
  fleet.Step(count * 3 / 4, step, opposite);
  fleet.Run(milliseconds(20000));
  CHECK(fleet.LargestErrorMs() == 0);
  SECTION("nor when it is undone") {
    fleet.Step(count * 3 / 4, -step, opposite);
    fleet.Run(milliseconds(10000));
    CHECK(fleet.LargestErrorMs() == 0);
  }
  SECTION("nor for nodes that start meanwhile") {
    for (size_t i = 0; i < count / 3; ++i) {
      fleet.Restart(i);
    }
    fleet.Run(milliseconds(3000));
    CHECK(fleet.LargestErrorMs() == 0);
    fleet.Run(milliseconds(20000));
    CHECK(fleet.LargestErrorMs() == 0);
  }
}

TEST_CASE("A correction of most clocks is followed within minutes",
          "[peers][clock_step]") {
  clock_fleet fleet(7);
  fleet.Step(7, kStepMs);
  fleet.Run(milliseconds(8000));
  CHECK(fleet.LargestErrorMs() == kStepMs);
  fleet.Step(7, -kStepMs);
  fleet.Run(milliseconds(100000));
  CHECK(fleet.LargestErrorMs() == kStepMs);
  fleet.Run(milliseconds(30000));
  CHECK(fleet.LargestErrorMs() == 0);
}

TEST_CASE("Clocks that drift are followed at once", "[peers][clock_step]") {
  clock_fleet fleet(7);
  fleet.Run(milliseconds(8000));
  for (int i = 0; i < 50; ++i) {
    fleet.Step(7, 100);
    fleet.Run(milliseconds(1000));
  }
  CHECK(fleet.LargestErrorMs() == 5000);
}

}  // namespace skylarkcroft
