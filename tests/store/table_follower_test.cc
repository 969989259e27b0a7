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
  [[nodiscard]] time_point now() const { return now_; }
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

// Guards against requests to an upstream that has left, which follow where a
// node takes its replica for more current than it is.
TEST_CASE("A replica has every change made before it calls itself current",
          "[store][follower][peers][property]") {
  const unsigned seed = GENERATE(range(1U, 201U));
  std::minstd_rand random(seed);
  const auto up_to = [&random](size_t count) { return random() % count; };
  replica_fleet fleet(7);
  std::vector<time_point> made_at{{}};
  std::vector<std::vector<std::string>> inboxes(fleet.size());
  std::vector<table_position> reports;
  int wrong_times = 0;
  for (size_t i = 0; i < fleet.size(); ++i) {
    following_node& node = fleet.node(i);
    node.follower().SetWatching(i < 2);
    node.on_applied = [&](const stored_row& row) {
      const std::optional<time_point> current_before =
          node.follower().previously_current_as_of();
      wrong_times +=
          current_before.has_value() &&
                  made_at.at(static_cast<size_t>(row.version)) < *current_before
              ? 1
              : 0;
    };
  }
  for (int step = 0; step < 600; ++step) {
    fleet.Elapse(milliseconds(up_to(3)));
    const size_t who = up_to(fleet.size());
    following_node& node = fleet.node(who);
    std::vector<std::string>& inbox = inboxes[who];
    const size_t kind = up_to(100);
    if (kind < 8) {
      for (size_t rows = 1 + up_to(8); rows > 0; --rows) {
        fleet.table().Put("key" + std::to_string(up_to(40)),
                          std::string(kLargeValueBytes, 'v'));
        made_at.push_back(fleet.now());
      }
    } else if (kind < 20) {
      node.LetStoreAnswer();
    } else if (kind < 35) {
      node.AnswerStoreOnly();
    } else if (kind < 45) {
      node.Continue();
    } else if (kind < 46) {
      node.follower().SetWatching(up_to(2) == 0);
    } else if (kind < 51 && node.follower().position().has_value()) {
      reports.push_back(*node.follower().position());
    } else if (kind < 60 && !reports.empty()) {
      node.follower().OnPeerReport(reports[up_to(reports.size())]);
    } else if (kind < 63 && !inbox.empty()) {
      node.Receive(inbox[up_to(inbox.size())]);
    } else if (kind < 66 && !inbox.empty()) {
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
    INFO("seed " << seed << ", step " << step << ", node " << who);
    REQUIRE(wrong_times == 0);
    REQUIRE(fleet.SkippedBy(who).empty());
    const std::optional<time_point> current = node.follower().current_as_of();
    if (!current.has_value()) {
      continue;
    }
    for (const stored_row& row : fleet.table().LastChanges(1)) {
      if (made_at.at(static_cast<size_t>(row.version)) < *current) {
        REQUIRE(node.rows().at(row.key).version >= row.version);
      }
    }
  }
  for (size_t i = 0; i < fleet.size(); ++i) {
    CHECK(fleet.node(i).missed().empty());
  }
}

// Guards against a change that a replica has missed, for whatever reason, and
// never gets.
TEST_CASE("A replica that differs from its peers is read again",
          "[store][follower][peers][audit][regression]") {
  replica_fleet fleet(3);
  for (size_t i = 0; i < fleet.size(); ++i) {
    fleet.node(i).follower().SetWatching(i == 0);
    fleet.node(i).AnswerStore();
  }
  fleet.Elapse(milliseconds(10));
  fleet.PutRows(1, 2, 10);
  fleet.node(0).AnswerStore();
  const std::vector<std::string> sent = fleet.TakeSent();
  REQUIRE(sent.size() == 1);
  fleet.node(1).Receive(sent.front());
  // A range that lacks one of its rows.
  table_changes short_range = *DecodeChanges(sent.front());
  short_range.rows.erase(short_range.rows.begin());
  fleet.node(2).Receive(EncodeChanges(short_range).front());
  REQUIRE(fleet.SkippedBy(2) == std::vector<std::string>{"key1"});
  for (size_t i = 0; i < 2; ++i) {
    fleet.node(2).follower().OnPeerReport(*fleet.node(i).follower().position());
  }
  fleet.node(2).Continue();
  fleet.node(2).AnswerStore();
  CHECK(fleet.SkippedBy(2).empty());
  CHECK(fleet.node(2).missed() == std::vector<std::string>{"key1"});
}

TEST_CASE("Changes behind a gap are told of once",
          "[store][follower][peers][audit]") {
  replica_fleet fleet(2);
  fleet.node(1).follower().SetWatching(false);
  fleet.node(0).AnswerStore();
  fleet.node(1).AnswerStore();
  for (int row = 1; row <= 3; ++row) {
    fleet.Elapse(milliseconds(10));
    fleet.PutRows(row, row, 10);
    fleet.node(0).AnswerStore();
  }
  const std::vector<std::string> sent = fleet.TakeSent();
  REQUIRE(sent.size() == 3);
  fleet.node(1).Receive(sent[1]);
  fleet.node(1).Receive(sent[2]);
  CHECK(fleet.node(1).gaps() == 1);
  fleet.node(1).Receive(sent[0]);
  fleet.node(1).Receive(sent[2]);
  CHECK(fleet.node(1).gaps() == 2);
}

}  // namespace skylarkcroft
