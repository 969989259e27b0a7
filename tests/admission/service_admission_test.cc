#include <algorithm>
#include <array>
#include <catch2/catch.hpp>
#include <deque>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "skylarkcroft/admission/skylarkcroft_service_admission.h"
#include "skylarkcroft/peers/skylarkcroft_peer_report.h"

namespace skylarkcroft {
namespace {

constexpr time_point kStart{std::chrono::seconds(100)};
constexpr milliseconds kStep{2};
constexpr double kUsefulFraction = 1.0 / 3;
constexpr int kSlots = 480;  // 40 engines with 12 batch slots.
constexpr int kRanks = 3;
constexpr int kWorkspaces = 6;
constexpr double kLargeShare = 0.7;  // Of the demand, by the first workspace.

/// Requests of one rank, as the deployments of docs/hard-load.md have them.
struct rank_load_shape {
  double weight = 0;  ///< Relative rate.
  double tokens = 0;
  milliseconds service_time{0};
  milliseconds deadline{0};
};
constexpr std::array<rank_load_shape, kRanks> kShapes = {
    rank_load_shape{107, 826, milliseconds(1300), milliseconds(10000)},
    rank_load_shape{144, 12000, milliseconds(1700), milliseconds(10000)},
    rank_load_shape{341, 2368, milliseconds(200), milliseconds(2500)}};

struct outcomes {
  int requests = 0;
  int sent = 0;
  int refusals = 0;
  int refused_finally = 0;

  [[nodiscard]] double SentShare() const {
    return requests == 0 ? 1 : static_cast<double>(sent) / requests;
  }
};

/// Nodes that send the requests of several workspaces to one service and know
/// each other's running requests from reports. Requests beyond the slots wait
/// at the engines.
class nodes_of_service {
 public:
  nodes_of_service(size_t count, bool decides)
      : period_(ReportPeriod(count)),
        decides_(decides),
        admissions_(count, service_admission(service_admission_parameters{})),
        own_(count, 0),
        reported_(count, 0) {}

  /// `demand` is the offered load as a multiple of the slots.
  void Run(milliseconds span, double demand) {
    double slot_seconds = 0;
    double weights = 0;
    for (const rank_load_shape& shape : kShapes) {
      slot_seconds += shape.weight *
                      std::chrono::duration<double>(shape.service_time).count();
      weights += shape.weight;
    }
    std::poisson_distribution<int> arrivals(
        demand * kSlots * weights / slot_seconds *
        std::chrono::duration<double>(kStep).count());
    std::discrete_distribution<int> ranks(
        {kShapes[0].weight, kShapes[1].weight, kShapes[2].weight});
    for (milliseconds passed{0}; passed < span; passed += kStep) {
      now_ += kStep;
      EndRequests();
      Report();
      while (!returns_.empty() && returns_.begin()->first <= now_) {
        const pending next = returns_.begin()->second;
        returns_.erase(returns_.begin());
        Ask(next);
      }
      for (int i = arrivals(random_); i > 0; --i) {
        const int rank = ranks(random_);
        const int workspace =
            Uniform() < kLargeShare
                ? 0
                : 1 + static_cast<int>((kWorkspaces - 1) * Uniform());
        by_rank.at(static_cast<size_t>(rank)).requests += 1;
        by_size.at(workspace == 0 ? 0 : 1).requests += 1;
        Ask({rank, workspace,
             now_ + kShapes.at(static_cast<size_t>(rank)).deadline});
      }
      most_running = std::max(most_running, Running());
      busy_slot_steps += std::min(Running(), kSlots);
      ++steps;
    }
  }

  void ResetCounts() {
    by_rank = {};
    by_size = {};
    most_running = 0;
    busy_slot_steps = 0;
    steps = 0;
  }
  [[nodiscard]] outcomes Total() const {
    outcomes total;
    for (const outcomes& rank : by_rank) {
      total.requests += rank.requests;
      total.sent += rank.sent;
      total.refusals += rank.refusals;
      total.refused_finally += rank.refused_finally;
    }
    return total;
  }

  std::array<outcomes, kRanks> by_rank;
  std::array<outcomes, 2> by_size;  ///< The large workspace, the small ones.
  int most_running = 0;
  int64_t busy_slot_steps = 0;
  int64_t steps = 0;

 private:
  struct pending {
    int rank = 0;
    int workspace = 0;
    time_point deadline;
  };
  struct sent_request {
    size_t node = 0;
    milliseconds service_time{0};
  };

  double Uniform() {
    return std::uniform_real_distribution<double>(0, 1)(random_);
  }
  [[nodiscard]] int Running() const {
    return static_cast<int>(ends_.size() + waiting_.size());
  }

  void Ask(const pending& request) {
    const auto node =
        static_cast<size_t>(Uniform() * static_cast<double>(own_.size()));
    const int seen = all_reported_ - reported_[node] + own_[node];
    const rank_load_shape& shape =
        kShapes.at(static_cast<size_t>(request.rank));
    const milliseconds remaining =
        std::chrono::duration_cast<milliseconds>(request.deadline - now_);
    service_admission_decision decision;
    if (decides_) {
      decision = admissions_[node].Decide(
          {"s", "w" + std::to_string(request.workspace), request.rank,
           shape.tokens, remaining, seen >= kSlots, Uniform(), Uniform()},
          [seen] {
            return service_room{seen, kSlots, 0, 0, milliseconds(700)};
          },
          now_);
    }
    outcomes& rank = by_rank.at(static_cast<size_t>(request.rank));
    outcomes& size = by_size.at(request.workspace == 0 ? 0 : 1);
    if (decision.admitted) {
      ++rank.sent;
      ++size.sent;
      ++own_[node];
      std::exponential_distribution<double> spread(1);
      waiting_.push_back({node, std::chrono::duration_cast<milliseconds>(
                                    spread(random_) * shape.service_time)});
      return;
    }
    ++rank.refusals;
    if (decision.wait <=
        std::chrono::duration_cast<milliseconds>(kUsefulFraction * remaining)) {
      returns_.emplace(now_ + decision.wait, request);
    } else {
      ++rank.refused_finally;
    }
  }

  void EndRequests() {
    while (!ends_.empty() && ends_.begin()->first <= now_) {
      --own_[ends_.begin()->second];
      ends_.erase(ends_.begin());
    }
    while (!waiting_.empty() && ends_.size() < kSlots) {
      ends_.emplace(now_ + waiting_.front().service_time,
                    waiting_.front().node);
      waiting_.pop_front();
    }
  }

  void Report() {
    const auto count = static_cast<milliseconds::rep>(own_.size());
    const milliseconds since =
        std::chrono::duration_cast<milliseconds>(now_ - kStart) % period_;
    for (milliseconds::rep node = 0; node < count; ++node) {
      const milliseconds due(node * period_.count() / count);
      if (due >= since && due < since + kStep) {
        const auto index = static_cast<size_t>(node);
        all_reported_ += own_[index] - reported_[index];
        reported_[index] = own_[index];
      }
    }
  }

  milliseconds period_;
  bool decides_;
  std::vector<service_admission> admissions_;
  std::vector<int> own_;       ///< Requests in flight of each node.
  std::vector<int> reported_;  ///< The same, as last reported.
  int all_reported_ = 0;
  std::multimap<time_point, size_t> ends_;
  std::deque<sent_request> waiting_;
  std::multimap<time_point, pending> returns_;
  time_point now_ = kStart;
  std::mt19937_64 random_{5};
};

constexpr bool kDecides = true;

}  // namespace

// Guards against sending everything to engines that are full, which decline it
// or preempt running streams, whatever its rank and workspace.
TEST_CASE("A service without room is used by rank and fair share",
          "[admission][service_room]") {
  const size_t count = GENERATE(7U, 89U);
  const double demand = GENERATE(1.3, 2.0, 4.0);
  nodes_of_service nodes(count, kDecides);
  nodes.Run(milliseconds(4000), 0.6);
  nodes.Run(milliseconds(6000), demand);
  nodes.ResetCounts();
  nodes.Run(milliseconds(15000), demand);
  const outcomes all = nodes.Total();
  const double busy = static_cast<double>(nodes.busy_slot_steps) /
                      static_cast<double>(nodes.steps * kSlots);
  const double rank0 = nodes.by_rank[0].SentShare();
  const double rank1 = nodes.by_rank[1].SentShare();
  const double rank2 = nodes.by_rank[2].SentShare();
  const double large = nodes.by_size[0].SentShare();
  const double small = nodes.by_size[1].SentShare();
  const double share = all.SentShare();
  CAPTURE(count, demand, busy, nodes.most_running, share, rank0, rank1, rank2);
  CAPTURE(large, small, all.refusals, all.refused_finally);
  CHECK(busy >= 0.9);
  CHECK(nodes.most_running <= (count < 10 ? 1.3 : 1.5) * kSlots);
  CHECK(rank0 >= (demand < 4 ? 0.98 : 0.6));
  CHECK(rank0 >= rank1 - 0.05);
  CHECK(rank1 >= rank2 - 0.05);
  CHECK(std::min(rank1, rank2) >= 0.25 * share);
  CHECK(small >= 1.1 * large);
  // Near the capacity, half of the refused return and are sent.
  CHECK(all.refusals <= (demand < 2 ? 2 : 1.6) * all.refused_finally);
}

// Guards against waits so long that clients give up although the burst ends.
TEST_CASE("Requests refused in a short burst are sent when there is room",
          "[admission][service_room][burst]") {
  const size_t count = GENERATE(7U, 89U);
  nodes_of_service nodes(count, kDecides);
  nodes.Run(milliseconds(4000), 0.6);
  nodes.ResetCounts();
  nodes.Run(milliseconds(1000), 2);
  nodes.Run(milliseconds(6000), 0.6);
  const outcomes all = nodes.Total();
  CAPTURE(count, all.requests, all.sent, all.refusals, nodes.most_running);
  CAPTURE(nodes.by_rank[0].SentShare(), nodes.by_rank[1].SentShare(),
          nodes.by_rank[2].SentShare());
  CHECK(all.SentShare() >= 0.9);
  CHECK(nodes.by_rank[1].SentShare() >= 0.95);
}

// Guards against refusals while there is room.
TEST_CASE("A service with room refuses nothing", "[admission][service_room]") {
  const size_t count = GENERATE(7U, 89U);
  nodes_of_service nodes(count, kDecides);
  nodes.Run(milliseconds(20000), 0.85);
  CAPTURE(count, nodes.most_running);
  CHECK(nodes.Total().refusals == 0);
}

TEST_CASE("Nothing is refused while under half of the slots are taken",
          "[admission][service_room]") {
  service_admission admission(service_admission_parameters{});
  // The cache is full, as by a few very long prompts.
  const service_room room{40, 96, 99, 100, milliseconds(700)};
  for (int i = 0; i < 20; ++i) {
    CHECK(admission
              .Decide(
                  {"s", "w", 9, 1000, milliseconds(2500), true, 0.99, 0.5},
                  [&] { return room; }, kStart)
              .admitted);
  }
}

TEST_CASE("Refusals end only when the service has room again",
          "[admission][service_room]") {
  service_admission admission(service_admission_parameters{});
  const service_request request{"s",   "w",  5,  1000, milliseconds(2500),
                                false, 0.99, 0.5};
  service_request full = request;
  full.placed_full = true;
  const auto at = [](int running) {
    return [running] {
      return service_room{running, 100, 0, 0, milliseconds(700)};
    };
  };
  CHECK(admission.Decide(request, at(100), kStart).admitted);
  CHECK_FALSE(admission.Decide(full, at(100), kStart).admitted);
  // An engine has room for it, but the service has not.
  CHECK_FALSE(admission.Decide(request, at(95), kStart).admitted);
  CHECK(admission.Decide(request, at(80), kStart).admitted);
  CHECK(admission.Decide(request, at(95), kStart).admitted);
}

}  // namespace skylarkcroft
