#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "skylarkcroft/peers/skylarkcroft_broadcast_queue.h"

namespace skylarkcroft {
namespace {

constexpr time_point kStart{std::chrono::seconds(100)};
constexpr double kBytesPerSecond = 800000;

std::vector<endpoint> Targets(int count) {
  std::vector<endpoint> targets;
  targets.reserve(static_cast<size_t>(count));
  for (int i = 0; i < count; ++i) {
    targets.push_back({"10.0.0.1", static_cast<uint16_t>(1000 + i)});
  }
  return targets;
}

}  // namespace

TEST_CASE("A broadcast to hundreds of nodes does not exceed the byte rate",
          "[peers][broadcast][scale]") {
  constexpr int kNodes = 346;
  constexpr size_t kDatagramBytes = 1200;
  broadcast_queue queue(kBytesPerSecond);
  queue.Add({std::string(kDatagramBytes, 'd')}, Targets(kNodes));
  size_t sent = 0;
  time_point now = kStart;
  for (; !queue.empty(); now += milliseconds(10)) {
    sent += queue.NextDue(now).size();
    const double seconds = std::chrono::duration<double>(now - kStart).count();
    constexpr double kBurstBytes = 20000;
    CHECK(static_cast<double>(sent * kDatagramBytes) <=
          kBurstBytes + kBytesPerSecond * seconds);
  }
  CHECK(sent == kNodes);
  CHECK(now - kStart < milliseconds(700));
}

TEST_CASE("A broadcast to a few nodes is sent at once", "[peers][broadcast]") {
  broadcast_queue queue(kBytesPerSecond);
  queue.Add({"a", "b"}, Targets(3));
  CHECK(queue.NextDue(kStart).size() == 6);
  CHECK(queue.empty());
}

TEST_CASE("The oldest items are dropped when too many are waiting",
          "[peers][broadcast]") {
  broadcast_queue queue(kBytesPerSecond);
  for (int i = 0; i < 100; ++i) {
    queue.Add({std::string(1200, 'd')}, Targets(346));
  }
  size_t sent = 0;
  for (time_point now = kStart; !queue.empty(); now += milliseconds(10)) {
    sent += queue.NextDue(now).size();
  }
  CHECK(sent < 10000);
}

}  // namespace skylarkcroft
