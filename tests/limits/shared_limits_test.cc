#include <algorithm>
#include <catch2/catch.hpp>
#include <cmath>
#include <deque>
#include <numeric>
#include <optional>
#include <vector>

#include "load/skylarkcroft_mesh_cluster.h"
#include "skylarkcroft/limits/skylarkcroft_caller_limiter.h"
#include "skylarkcroft/limits/skylarkcroft_limit_peers.h"
#include "skylarkcroft/tables/skylarkcroft_routes_table.h"

namespace skylarkcroft::load {
namespace {

constexpr const char* kCaller = "large";
constexpr double kLimit = 100;
constexpr milliseconds kStep{50};
constexpr size_t kWindowSteps = 200;
constexpr milliseconds kSettle{15000};

routes_table Routes(const caller_limits& limits) {
  caller limited;
  limited.name = kCaller;
  limited.limits = limits;
  return {{}, {limited}, {}};
}

/// Nodes that share the limits of one caller and exchange their allocations
/// over the production mesh code.
class limited_nodes {
 public:
  explicit limited_nodes(size_t size, const caller_limits& limits)
      : cluster(size, {}), limits_(limits) {
    for (size_t index = 0; index < size; ++index) {
      AddLimiter();
    }
  }
  void AddNode() {
    cluster.Add();
    AddLimiter();
  }

  /// Offers `rates[i]` requests a second to node i for `time`.
  void Offer(const std::vector<double>& rates, milliseconds time) {
    for (milliseconds passed{0}; passed < time; passed += kStep) {
      double admitted = 0;
      for (size_t index = 0; index < cluster.size(); ++index) {
        Update(index);
        admitted += OfferOne(index, rates[index]);
      }
      cluster.Run(kStep);
      Count(admitted);
    }
  }
  void Finish(size_t index) { limiters_[index].Finish(kCaller, 0, 0); }
  void ResetMeasurement() {
    window_.clear();
    max_rate_ = 0;
  }
  double AllocatedRequests(size_t index) {
    return allocations_[index][kCaller][IndexOf(limit_kind::kRequests)]
        .allocated;
  }
  std::optional<duration> Admit(size_t index) {
    return limiters_[index].Admit(kCaller, 0, cluster.time().now);
  }
  /// Highest rate of admitted requests in any 10 s, in requests a second.
  double max_rate() const { return max_rate_; }
  double latest_rate() const {
    return std::accumulate(window_.begin(), window_.end(), 0.0) / 10;
  }

  mesh_cluster cluster;

 private:
  void AddLimiter() {
    limiters_.emplace_back();
    limiters_.back().SetCallers(Routes(limits_), cluster.time().now);
    allocations_.emplace_back();
    last_update_.emplace_back();
    owed_requests_.push_back(0);
  }
  void Update(size_t index) {
    mesh_cluster::node& node = cluster.at(index);
    const time_point now = cluster.time().now;
    if (!node.part || node.paused ||
        (last_update_[index] &&
         now - *last_update_[index] < kLimitUpdatePeriod)) {
      return;
    }
    last_update_[index] = now;
    const std::optional<limit_peers> peers =
        CollectLimitPeers(*node.part, 0, now);
    if (!peers) {
      return;
    }
    allocations_[index] = limiters_[index].Update(*peers, now);
    node.part->Publish(kLimitsTopic, EncodeAllocations(allocations_[index]));
    node.part->RequestEarlyRound();
  }
  double OfferOne(size_t index, double rate) {
    if (!cluster.at(index).part || cluster.at(index).paused) {
      return 0;
    }
    double admitted = 0;
    owed_requests_[index] +=
        rate * std::chrono::duration<double>(kStep).count();
    while (owed_requests_[index] >= 1) {
      owed_requests_[index] -= 1;
      if (!Admit(index)) {
        Finish(index);
        admitted += 1;
      }
    }
    return admitted;
  }
  void Count(double admitted) {
    window_.push_back(admitted);
    if (window_.size() > kWindowSteps) {
      window_.pop_front();
    }
    if (window_.size() == kWindowSteps) {
      max_rate_ = std::max(max_rate_, latest_rate());
    }
  }

  caller_limits limits_;
  std::deque<caller_limiter> limiters_;
  std::vector<allocations_by_caller> allocations_;
  std::vector<std::optional<time_point>> last_update_;
  std::vector<double> owed_requests_;
  std::deque<double> window_;
  double max_rate_ = 0;
};

constexpr caller_limits kRequestsLimit{kLimit, 0, 0};
constexpr double kOvershoot = 1.1;

TEST_CASE(
    "A limit holds over all nodes while the distribution of demand changes",
    "[limits]") {
  limited_nodes nodes(7, kRequestsLimit);
  nodes.Offer({40, 40, 40, 40, 40, 40, 40}, kSettle);
  nodes.ResetMeasurement();
  std::vector<double> rates(7, 0);
  for (size_t turn = 0; turn < 12; ++turn) {
    std::fill(rates.begin(), rates.end(), 5);
    rates[turn % 7] = 150;
    rates[(3 * turn) % 7] = 150;
    nodes.Offer(rates, milliseconds(3000 + 1000 * (turn % 4)));
  }
  CHECK(nodes.max_rate() <= kLimit * kOvershoot);
  SECTION("and is used in full again once the distribution is steady") {
    nodes.Offer(rates, 2 * kSettle);
    CHECK(nodes.latest_rate() >= 0.85 * kLimit);
  }
}

TEST_CASE("Allocations adapt when a node joins, leaves or fails", "[limits]") {
  limited_nodes nodes(3, kRequestsLimit);
  nodes.Offer({80, 80, 80}, kSettle);
  nodes.ResetMeasurement();
  SECTION("a node that joins gets an allocation") {
    nodes.AddNode();
    nodes.Offer({80, 80, 80, 80}, kSettle);
    CHECK(nodes.AllocatedRequests(3) >= 0.15 * kLimit);
    CHECK(nodes.latest_rate() >= 0.85 * kLimit);
  }
  SECTION("the allocation of a node that leaves is redistributed") {
    nodes.cluster.at(2).part->PublishDraining();
    nodes.cluster.Run(milliseconds(500));
    nodes.cluster.Kill(2);
    nodes.Offer({80, 80, 0}, 2 * kSettle);
    CHECK(nodes.latest_rate() >= 0.85 * kLimit);
  }
  SECTION("an even part stays reserved for a node that was killed") {
    nodes.cluster.Kill(2);
    nodes.Offer({80, 80, 0}, 2 * kSettle);
    CHECK(nodes.latest_rate() <= 0.70 * kLimit);
    CHECK(nodes.latest_rate() >= 0.55 * kLimit);
  }
  CHECK(nodes.max_rate() <= kLimit * kOvershoot);
}

TEST_CASE("A limit holds over both sides of a network partition",
          "[limits][regions]") {
  limited_nodes nodes(7, kRequestsLimit);
  const std::vector<double> rates = {80, 5, 5, 5, 80, 5, 5};
  nodes.Offer(rates, kSettle);
  nodes.ResetMeasurement();
  const auto side = [](const endpoint& address) {
    return address < mesh_cluster::AddressOf(4);
  };
  nodes.cluster.network().SetCut([&](const endpoint& from, const endpoint& to) {
    return side(from) != side(to);
  });
  nodes.Offer(rates, 4 * kSettle);
  CHECK(nodes.max_rate() <= kLimit * kOvershoot);
  CHECK(nodes.latest_rate() >= 0.7 * kLimit);
  nodes.cluster.network().SetCut({});
  nodes.Offer(rates, 2 * kSettle);
  CHECK(nodes.max_rate() <= kLimit * kOvershoot);
  CHECK(nodes.latest_rate() >= 0.85 * kLimit);
}

TEST_CASE("A node that was paused does not use its outdated allocation",
          "[limits]") {
  limited_nodes nodes(3, kRequestsLimit);
  nodes.Offer({10, 10, 150}, kSettle);
  REQUIRE(nodes.AllocatedRequests(2) > 0.6 * kLimit);
  nodes.ResetMeasurement();
  nodes.cluster.at(2).paused = true;
  nodes.Offer({100, 100, 0}, 2 * kSettle);
  nodes.cluster.at(2).paused = false;
  nodes.Offer({100, 100, 150}, 2 * kSettle);
  CHECK(nodes.max_rate() <= kLimit * kOvershoot);
}

TEST_CASE("Concurrent requests are limited over all nodes", "[limits]") {
  limited_nodes nodes(3, {0, 0, 12});
  nodes.Offer({0, 0, 0}, kSettle);
  int running = 0;
  for (int round = 0; round < 20; ++round) {
    for (size_t index = 0; index < 3; ++index) {
      running += nodes.Admit(index) ? 0 : 1;
    }
    CHECK(running <= 12);
    nodes.Offer({0, 0, 0}, milliseconds(2000));
  }
  CHECK(running >= 9);
}

TEST_CASE("Requests of a caller without limits are admitted", "[limits]") {
  limited_nodes nodes(1, {});
  for (int request = 0; request < 1000; ++request) {
    REQUIRE_FALSE(nodes.Admit(0));
  }
}

}  // namespace
}  // namespace skylarkcroft::load
