#include <catch2/catch.hpp>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "tests/store/table_model.h"

namespace skylarkcroft {
namespace {

// Two such rows fill a datagram.
constexpr size_t kLargeValueBytes = 500;

/// Nodes with replicas of one table. What they send is kept until a test
/// delivers it.
class replica_fleet {
 public:
  explicit replica_fleet(size_t nodes) {
    for (size_t i = 0; i < nodes; ++i) {
      nodes_.push_back(std::make_unique<following_node>(
          table_, now_,
          [this](const std::string& datagram) { sent_.push_back(datagram); }));
    }
  }
  void Elapse(milliseconds time) { now_ += time; }
  /// Writes the rows `first` to `last`, each with a version of its own.
  void PutRows(int first, int last, size_t value_bytes) {
    for (int i = first; i <= last; ++i) {
      table_.Put("key" + std::to_string(i), std::string(value_bytes, 'v'));
    }
  }
  /// Returns what was sent since the last call.
  std::vector<std::string> TakeSent() { return std::exchange(sent_, {}); }

  [[nodiscard]] table_model& table() { return table_; }
  [[nodiscard]] following_node& node(size_t i) { return *nodes_.at(i); }
  [[nodiscard]] size_t size() const { return nodes_.size(); }
  [[nodiscard]] std::vector<std::string> SkippedBy(size_t i) {
    const store_position place = node(i).follower().place();
    return place.era == 0 ? std::vector<std::string>{}
                          : SkippedKeys(table_, place, node(i).rows());
  }

 private:
  time_point now_{milliseconds(500000)};
  table_model table_;
  std::vector<std::string> sent_;
  std::vector<std::unique_ptr<following_node>> nodes_;
};

}  // namespace

// Guards against rows that a node never gets because a watching peer claims
// them for a range of which it has read the end only.
TEST_CASE("What a watching node passes on begins where its replica ended",
          "[store][follower][peers][regression]") {
  replica_fleet fleet(3);
  following_node& first = fleet.node(0);
  following_node& second = fleet.node(1);
  following_node& third = fleet.node(2);
  third.follower().SetWatching(false);
  for (size_t i = 0; i < fleet.size(); ++i) {
    fleet.node(i).AnswerStore();
  }
  fleet.Elapse(milliseconds(10));
  fleet.PutRows(1, 3, 10);
  first.AnswerStore();
  second.AnswerStoreOnly();
  third.Receive(fleet.TakeSent().front());
  REQUIRE(third.follower().place().version == 3);
  fleet.PutRows(4, 5, kLargeValueBytes);
  SECTION("a part of a peer's changes comes between two watches") {
    fleet.Elapse(milliseconds(10));
    fleet.PutRows(6, 7, kLargeValueBytes);
  }
  SECTION("a peer's changes have a clock not later than the last watch") {}
  first.AnswerStore();
  const std::vector<std::string> from_first = fleet.TakeSent();
  second.Receive(from_first.front());
  REQUIRE(second.follower().place().version == 5);
  second.Continue();
  fleet.Elapse(milliseconds(10));
  fleet.PutRows(8, 9, kLargeValueBytes);
  second.AnswerStore();
  const std::vector<std::string> from_second = fleet.TakeSent();
  REQUIRE_FALSE(from_second.empty());
  for (const std::string& datagram : from_second) {
    third.Receive(datagram);
  }
  CHECK(fleet.SkippedBy(2).empty());
  for (const std::string& datagram : from_first) {
    third.Receive(datagram);
  }
  CHECK(fleet.SkippedBy(2).empty());
  CHECK(fleet.SkippedBy(1).empty());
}

// Guards against a row that is skipped for good, whatever arrives twice, late
// or never.
TEST_CASE("A replica never skips a row",
          "[store][follower][peers][restored][property][regression]") {
  const unsigned seed = GENERATE(range(1U, 201U));
  std::minstd_rand random(seed);
  const auto up_to = [&random](size_t count) { return random() % count; };
  replica_fleet fleet(4);
  std::vector<std::vector<std::string>> inboxes(fleet.size());
  std::vector<table_position> reports;
  for (size_t i = 2; i < fleet.size(); ++i) {
    fleet.node(i).follower().SetWatching(false);
  }
  for (int step = 0; step < 400; ++step) {
    fleet.Elapse(milliseconds(up_to(2)));
    const size_t who = up_to(fleet.size());
    following_node& node = fleet.node(who);
    std::vector<std::string>& inbox = inboxes[who];
    const size_t kind = up_to(200);
    if (kind < 20) {
      for (size_t rows = up_to(6); rows > 0; --rows) {
        fleet.table().Put("key" + std::to_string(up_to(40)),
                          std::string(kLargeValueBytes, 'v'));
      }
    } else if (kind < 24) {
      fleet.table().Remove("key" + std::to_string(up_to(40)));
    } else if (kind < 26) {
      fleet.table().ChangeOtherTable();
    } else if (kind < 28) {
      fleet.table().MakeCopy();
    } else if (kind < 29) {
      fleet.table().Restore();
    } else if (kind < 70) {
      node.AnswerStoreOnly();
    } else if (kind < 100) {
      node.Continue();
    } else if (kind < 101) {
      node.follower().SetWatching(up_to(2) == 0);
    } else if (kind < 104 && node.follower().position().has_value()) {
      reports.push_back(*node.follower().position());
    } else if (kind < 107 && !reports.empty()) {
      node.follower().OnPeerReport(reports[up_to(reports.size())]);
    } else if (kind < 110 && !inbox.empty()) {
      // Arrives early, and again in its turn.
      node.Receive(inbox[up_to(inbox.size())]);
    } else if (kind < 115 && !inbox.empty()) {
      inbox.erase(inbox.begin());
    } else if (!inbox.empty()) {
      node.Receive(inbox.front());
      inbox.erase(inbox.begin());
    }
    for (const std::string& datagram : fleet.TakeSent()) {
      for (std::vector<std::string>& other : inboxes) {
        other.push_back(datagram);
      }
    }
    for (size_t i = 0; i < fleet.size(); ++i) {
      INFO("seed " << seed << ", step " << step << ", node " << i);
      REQUIRE(fleet.SkippedBy(i).empty());
    }
  }
}

// Guards against a replica that stays behind although it has heard of a later
// change.
TEST_CASE("A replica equals the table after a report of the newest change",
          "[store][follower][peers][restored][property]") {
  const unsigned seed = GENERATE(range(1U, 51U));
  std::minstd_rand random(seed);
  replica_fleet fleet(3);
  fleet.node(2).follower().SetWatching(false);
  for (int step = 0; step < 60; ++step) {
    fleet.Elapse(milliseconds(1));
    const auto kind = random() % 10;
    const std::string key = "key" + std::to_string(random() % 5);
    if (kind < 4) {
      fleet.table().Put(key, "value");
    } else if (kind < 5) {
      fleet.table().Remove(key);
    } else if (kind < 6) {
      fleet.table().MakeCopy();
      fleet.table().Restore();
    } else {
      fleet.node(random() % fleet.size()).AnswerStore();
    }
    // Some of what is sent is lost.
    for (const std::string& datagram : fleet.TakeSent()) {
      fleet.node(random() % fleet.size()).Receive(datagram);
    }
  }
  constexpr int kRounds = 4;
  for (int round = 0; round < kRounds; ++round) {
    fleet.Elapse(milliseconds(1));
    for (size_t i = 0; i < fleet.size(); ++i) {
      fleet.node(i).AnswerStore();
      REQUIRE(fleet.node(0).follower().position().has_value());
      fleet.node(i).follower().OnPeerReport(
          *fleet.node(0).follower().position());
    }
  }
  for (size_t i = 0; i < fleet.size(); ++i) {
    INFO("seed " << seed << ", node " << i);
    CHECK(fleet.node(i).rows() == fleet.table().Rows());
  }
}

}  // namespace skylarkcroft
