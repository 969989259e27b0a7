#include <algorithm>
#include <catch2/catch.hpp>
#include <cmath>
#include <deque>
#include <numeric>
#include <optional>
#include <vector>

#include "load/skylarkcroft_mesh_cluster.h"
#include "skylarkcroft/limits/skylarkcroft_caller_limiter.h"
#include "skylarkcroft/limits/skylarkcroft_peer_claims.h"
#include "skylarkcroft/tables/skylarkcroft_routes_table.h"

namespace skylarkcroft::load {
namespace {

constexpr const char* kCaller = "large";
constexpr double kLimit = 100;
constexpr milliseconds kStep{50};
constexpr size_t kWindowSteps = 200;
constexpr milliseconds kSettle{15000};

routes_table Routes(const caller_limits& limits) {
  caller one;
  one.name = kCaller;
  one.limits = limits;
  return {{}, {one}, {}};
}

/// Nodes that share the limits of one caller, over the real mesh code.
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
  void Forget() {
    window_.clear();
    worst_ = 0;
  }
  double Part(size_t index) {
    return claims_[index][kCaller][IndexOf(limit_kind::kRequests)].part;
  }
  std::optional<duration> Admit(size_t index) {
    return limiters_[index].Admit(kCaller, 0, cluster.time().now);
  }
  /// Most requests a second admitted over any 10 s.
  double worst() const { return worst_; }
  double latest() const {
    return std::accumulate(window_.begin(), window_.end(), 0.0) / 10;
  }

  mesh_cluster cluster;

 private:
  void AddLimiter() {
    limiters_.emplace_back();
    limiters_.back().SetCallers(Routes(limits_), cluster.time().now);
    claims_.emplace_back();
    updated_.emplace_back();
    owed_.push_back(0);
  }
  void Update(size_t index) {
    mesh_cluster::node& node = cluster.at(index);
    const time_point now = cluster.time().now;
    if (!node.part || node.paused ||
        (updated_[index] && now - *updated_[index] < kLimitsPeriod)) {
      return;
    }
    updated_[index] = now;
    const std::optional<limit_peers> peers = PeersOf(*node.part, 0, now);
    if (!peers) {
      return;
    }
    claims_[index] = limiters_[index].Update(*peers, now);
    node.part->Publish(kLimitsTopic, EncodeClaims(claims_[index]));
    node.part->HurryRound();
  }
  double OfferOne(size_t index, double rate) {
    if (!cluster.at(index).part || cluster.at(index).paused) {
      return 0;
    }
    double admitted = 0;
    owed_[index] += rate * std::chrono::duration<double>(kStep).count();
    while (owed_[index] >= 1) {
      owed_[index] -= 1;
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
      worst_ = std::max(worst_, latest());
    }
  }

  caller_limits limits_;
  std::deque<caller_limiter> limiters_;
  std::vector<claims_by_caller> claims_;
  std::vector<std::optional<time_point>> updated_;
  std::vector<double> owed_;
  std::deque<double> window_;
  double worst_ = 0;
};

constexpr caller_limits kRequestsLimit{kLimit, 0, 0};
constexpr double kOvershoot = 1.1;

TEST_CASE("a limit holds over all nodes while the split of demand changes",
          "[limits]") {
  limited_nodes nodes(7, kRequestsLimit);
  nodes.Offer({40, 40, 40, 40, 40, 40, 40}, kSettle);
  nodes.Forget();
  std::vector<double> rates(7, 0);
  for (size_t turn = 0; turn < 12; ++turn) {
    std::fill(rates.begin(), rates.end(), 5);
    rates[turn % 7] = 150;
    rates[(3 * turn) % 7] = 150;
    nodes.Offer(rates, milliseconds(3000 + 1000 * (turn % 4)));
  }
  CHECK(nodes.worst() <= kLimit * kOvershoot);
  SECTION("and is given out once the split rests") {
    nodes.Offer(rates, 2 * kSettle);
    CHECK(nodes.latest() >= 0.85 * kLimit);
  }
}

TEST_CASE("a node that arrives or leaves moves its part", "[limits]") {
  limited_nodes nodes(3, kRequestsLimit);
  nodes.Offer({80, 80, 80}, kSettle);
  nodes.Forget();
  SECTION("arrives") {
    nodes.AddNode();
    nodes.Offer({80, 80, 80, 80}, kSettle);
    CHECK(nodes.Part(3) >= 0.15 * kLimit);
    CHECK(nodes.latest() >= 0.85 * kLimit);
  }
  SECTION("leaves") {
    nodes.cluster.at(2).part->PublishLeaving();
    nodes.cluster.Run(milliseconds(500));
    nodes.cluster.Kill(2);
    nodes.Offer({80, 80, 0}, 2 * kSettle);
    CHECK(nodes.latest() >= 0.85 * kLimit);
  }
  SECTION("is killed, and its even part stays reserved") {
    nodes.cluster.Kill(2);
    nodes.Offer({80, 80, 0}, 2 * kSettle);
    CHECK(nodes.latest() <= 0.70 * kLimit);
    CHECK(nodes.latest() >= 0.55 * kLimit);
  }
  CHECK(nodes.worst() <= kLimit * kOvershoot);
}

TEST_CASE("parted sides keep to their parts together", "[limits][regions]") {
  limited_nodes nodes(7, kRequestsLimit);
  const std::vector<double> rates = {80, 5, 5, 5, 80, 5, 5};
  nodes.Offer(rates, kSettle);
  nodes.Forget();
  const auto side = [](const endpoint& address) {
    return address < mesh_cluster::AddressOf(4);
  };
  nodes.cluster.network().SetCut([&](const endpoint& from, const endpoint& to) {
    return side(from) != side(to);
  });
  nodes.Offer(rates, 4 * kSettle);
  CHECK(nodes.worst() <= kLimit * kOvershoot);
  CHECK(nodes.latest() >= 0.7 * kLimit);
  nodes.cluster.network().SetCut({});
  nodes.Offer(rates, 2 * kSettle);
  CHECK(nodes.worst() <= kLimit * kOvershoot);
  CHECK(nodes.latest() >= 0.85 * kLimit);
}

TEST_CASE("a node that was paused does not use an old part", "[limits]") {
  limited_nodes nodes(3, kRequestsLimit);
  nodes.Offer({10, 10, 150}, kSettle);
  REQUIRE(nodes.Part(2) > 0.6 * kLimit);
  nodes.Forget();
  nodes.cluster.at(2).paused = true;
  nodes.Offer({100, 100, 0}, 2 * kSettle);
  nodes.cluster.at(2).paused = false;
  nodes.Offer({100, 100, 150}, 2 * kSettle);
  CHECK(nodes.worst() <= kLimit * kOvershoot);
}

TEST_CASE("requests at once are limited over all nodes", "[limits]") {
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

TEST_CASE("a caller without limits is let on", "[limits]") {
  limited_nodes nodes(1, {});
  for (int request = 0; request < 1000; ++request) {
    REQUIRE_FALSE(nodes.Admit(0));
  }
}

}  // namespace
}  // namespace skylarkcroft::load
