#include <algorithm>
#include <catch2/catch.hpp>
#include <deque>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "skylarkcroft/peers/skylarkcroft_peer_report.h"
#include "skylarkcroft/placement/skylarkcroft_load_balancer.h"

namespace skylarkcroft {
namespace {

constexpr time_point kStart{std::chrono::seconds(100)};
constexpr milliseconds kStep{1};
constexpr int kUpstreams = 60;
constexpr int kSlots = 16;
constexpr int64_t kCacheTokens = 492262;

/// Simulates nodes that place requests by their own knowledge and by the latest
/// reports of the other nodes.
class simulated_nodes {
 public:
  explicit simulated_nodes(size_t count)
      : period_(ReportPeriod(count)), running_(kUpstreams, 0) {
    std::vector<upstream_entry> entries;
    for (int i = 0; i < kUpstreams; ++i) {
      upstream_entry entry;
      entry.id = std::to_string(i);
      entry.service = "pool";
      entry.slots = kSlots;
      entry.reclaimable = true;
      entries.push_back(entry);
    }
    for (size_t i = 0; i < count; ++i) {
      nodes_.emplace_back(load_balancer_parameters{});
      nodes_.back().Reset(entries, kStart);
      nodes_.back().SetMaxPeerReportAge(4 * period_);
    }
  }

  /// Places `rate` requests per second, each in flight for `mean` on average.
  void Simulate(milliseconds span, double rate, milliseconds mean) {
    std::exponential_distribution<double> duration(
        1 / static_cast<double>(mean.count()));
    for (milliseconds elapsed{0}; elapsed < span; elapsed += kStep) {
      now_ += kStep;
      EndFinishedRequests();
      SendReports(elapsed);
      due_requests_ += rate * std::chrono::duration<double>(kStep).count();
      for (; due_requests_ >= 1; due_requests_ -= 1) {
        Place(milliseconds(static_cast<int>(duration(random_))));
      }
    }
  }

  int placed = 0;
  int placed_on_full = 0;

 private:
  struct request {
    time_point ends;
    size_t node = 0;
    std::string upstream;
    request_work work;
  };

  void Place(milliseconds span) {
    const size_t node = random_() % nodes_.size();
    placement_request query;
    query.service = "pool";
    query.cache_tokens = kCacheTokens;
    query.shape.prompt_tokens = 1000;
    query.shape.max_output_tokens = 300;
    query.shape.parts = {{"s" + std::to_string(random_() % 1000), 400},
                         {"own", 600}};
    query.draw = std::uniform_real_distribution<double>(0, 1)(random_);
    const std::optional<placement> placed_at = nodes_[node].Choose(query, now_);
    REQUIRE(placed_at.has_value());
    nodes_[node].RecordRequestSent(placed_at->upstream.id, placed_at->work,
                                   query.shape, now_);
    nodes_[node].RecordResponseStart(placed_at->upstream.id, placed_at->work,
                                     now_);
    int& running_at_upstream = running_[std::stoul(placed_at->upstream.id)];
    ++placed;
    placed_on_full += running_at_upstream >= kSlots ? 1 : 0;
    ++running_at_upstream;
    requests_.push_back(
        {now_ + span, node, placed_at->upstream.id, placed_at->work});
  }

  void EndFinishedRequests() {
    std::erase_if(requests_, [this](const request& one) {
      if (one.ends > now_) {
        return false;
      }
      nodes_[one.node].RecordRequestEnded(one.upstream, one.work, true,
                                          upstream_outcome::kSuccess, now_);
      --running_[std::stoul(one.upstream)];
      return true;
    });
  }

  // The nodes' reports are spread evenly over the period.
  void SendReports(milliseconds elapsed) {
    for (size_t from = 0; from < nodes_.size(); ++from) {
      const milliseconds phase(static_cast<milliseconds::rep>(from) *
                               period_.count() /
                               static_cast<milliseconds::rep>(nodes_.size()));
      if (elapsed % period_ != phase) {
        continue;
      }
      const std::vector<upstream_report> reports =
          nodes_[from].OwnUpstreamReports(now_);
      for (size_t to = 0; to < nodes_.size(); ++to) {
        if (to != from) {
          nodes_[to].SetPeerReport({std::to_string(from)}, reports, now_);
        }
      }
    }
  }

  milliseconds period_;
  std::vector<int> running_;
  std::vector<load_balancer> nodes_;
  std::vector<request> requests_;
  std::mt19937_64 random_{7};
  time_point now_ = kStart;
  double due_requests_ = 0;
};

}  // namespace

TEST_CASE(
    "Nodes with outdated reports of each other do not overload any upstream",
    "[placement][herd]") {
  const size_t count = GENERATE(7U, 80U);
  simulated_nodes nodes(count);
  // Nine of sixteen batch slots are taken on average.
  nodes.Simulate(milliseconds(4000), 900, milliseconds(600));
  INFO(count << " nodes: " << nodes.placed_on_full << " of " << nodes.placed);
  CHECK(nodes.placed_on_full * 100 <= nodes.placed);
}

}  // namespace skylarkcroft
