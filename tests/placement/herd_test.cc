#include <algorithm>
#include <catch2/catch.hpp>
#include <deque>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "skylarkcroft/peers/skylarkcroft_peer_report.h"
#include "skylarkcroft/placement/skylarkcroft_upstream_board.h"

namespace skylarkcroft {
namespace {

constexpr time_point kStart{std::chrono::seconds(100)};
constexpr milliseconds kStep{1};
constexpr int kUpstreams = 60;
constexpr int kSlots = 16;
constexpr int64_t kCacheTokens = 492262;

/// Nodes that place requests by what each knows itself and by the reports that
/// the others sent it last.
class placing_nodes {
 public:
  explicit placing_nodes(size_t count)
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
      nodes_.emplace_back(board_terms{});
      nodes_.back().Reset(entries, kStart);
      nodes_.back().SetPeerLoadLife(4 * period_);
    }
  }

  /// Places `rate` requests a second, each at work for `mean` on average.
  void Run(milliseconds span, double rate, milliseconds mean) {
    std::exponential_distribution<double> duration(
        1 / static_cast<double>(mean.count()));
    for (milliseconds passed{0}; passed < span; passed += kStep) {
      now_ += kStep;
      EndDue();
      Report(passed);
      owed_ += rate * std::chrono::duration<double>(kStep).count();
      for (; owed_ >= 1; owed_ -= 1) {
        Place(milliseconds(static_cast<int>(duration(random_))));
      }
    }
  }

  int placed = 0;
  int placed_full = 0;

 private:
  struct request {
    time_point ends;
    size_t node = 0;
    std::string upstream;
    work_size work;
  };

  void Place(milliseconds span) {
    const size_t node = random_() % nodes_.size();
    placement_request asked;
    asked.service = "pool";
    asked.cache_tokens = kCacheTokens;
    asked.shape.prompt_tokens = 1000;
    asked.shape.max_output_tokens = 300;
    asked.shape.parts = {{"s" + std::to_string(random_() % 1000), 400},
                         {"own", 600}};
    asked.draw = std::uniform_real_distribution<double>(0, 1)(random_);
    const std::optional<placement> to = nodes_[node].Choose(asked, now_);
    REQUIRE(to.has_value());
    nodes_[node].NoteSent(to->upstream.id, to->work, asked.shape, now_);
    nodes_[node].NoteBegun(to->upstream.id, to->work, now_);
    int& there = running_[std::stoul(to->upstream.id)];
    ++placed;
    placed_full += there >= kSlots ? 1 : 0;
    ++there;
    requests_.push_back({now_ + span, node, to->upstream.id, to->work});
  }

  void EndDue() {
    std::erase_if(requests_, [this](const request& one) {
      if (one.ends > now_) {
        return false;
      }
      nodes_[one.node].NoteEnded(one.upstream, one.work, true,
                                 upstream_outcome::kGood, now_);
      --running_[std::stoul(one.upstream)];
      return true;
    });
  }

  // Nodes report one after the other within a period.
  void Report(milliseconds passed) {
    for (size_t from = 0; from < nodes_.size(); ++from) {
      const milliseconds phase(static_cast<milliseconds::rep>(from) *
                               period_.count() /
                               static_cast<milliseconds::rep>(nodes_.size()));
      if (passed % period_ != phase) {
        continue;
      }
      const std::vector<peer_upstream_view> views = nodes_[from].OwnViews(now_);
      for (size_t to = 0; to < nodes_.size(); ++to) {
        if (to != from) {
          nodes_[to].SetPeer({std::to_string(from)}, views, now_);
        }
      }
    }
  }

  milliseconds period_;
  std::vector<int> running_;
  std::vector<upstream_board> nodes_;
  std::vector<request> requests_;
  std::mt19937_64 random_{7};
  time_point now_ = kStart;
  double owed_ = 0;
};

}  // namespace

TEST_CASE("Many nodes with old figures of each other fill no upstream",
          "[placement][herd]") {
  const size_t count = GENERATE(7U, 80U);
  placing_nodes nodes(count);
  // Nine of sixteen places are taken on average.
  nodes.Run(milliseconds(4000), 900, milliseconds(600));
  INFO(count << " nodes: " << nodes.placed_full << " of " << nodes.placed);
  CHECK(nodes.placed_full * 100 <= nodes.placed);
}

}  // namespace skylarkcroft
