#include <catch2/catch.hpp>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "tests/store/table_model.h"

namespace skylarkcroft {
namespace {

/// Nodes that follow one table through pages, and what each may have missed.
class paged_fleet {
 public:
  paged_fleet(size_t nodes, size_t watchers, size_t page_rows)
      : page_rows_(page_rows) {
    for (size_t i = 0; i < nodes; ++i) {
      nodes_.push_back(MakeNode(i < watchers));
    }
  }

  void Elapse(milliseconds time) { now_ += time; }
  void Put(const std::string& key) {
    table.Put(key, "value");
    made_at_[table.at()] = now_;
  }
  void Remove(const std::string& key) {
    table.Remove(key);
    made_at_[table.at()] = now_;
  }
  /// Replaces a node by one that knows nothing.
  void Restart(size_t i) { nodes_[i] = MakeNode(i == 0); }
  /// Begins with the last read of all nodes answered.
  void AnswerAll() {
    for (const auto& node : nodes_) {
      node->AnswerStore();
    }
  }
  std::vector<std::string> TakeSent() { return std::exchange(sent_, {}); }
  void Report(size_t from, size_t to) {
    const std::optional<table_position> told = node(from).follower().position();
    if (told.has_value()) {
      node(to).follower().OnPeerReport(*told);
    }
  }

  [[nodiscard]] following_node& node(size_t i) { return *nodes_.at(i); }
  [[nodiscard]] size_t size() const { return nodes_.size(); }
  [[nodiscard]] time_point now() const { return now_; }
  [[nodiscard]] std::optional<time_point> CurrentAsOf(size_t i) {
    return node(i).follower().current_as_of();
  }
  /// Keys whose last change was acknowledged before the time up to which node
  /// `i` holds that it has every change, and which it lacks or has otherwise.
  [[nodiscard]] std::vector<std::string> MissedBy(size_t i) {
    std::vector<std::string> missed;
    const std::optional<time_point> current = CurrentAsOf(i);
    const bool knows_era = node(i).follower().place().era == table.at().era;
    if (!current.has_value() || !knows_era) {
      return missed;
    }
    const table_rows& rows = node(i).rows();
    for (const stored_row& row : table.LastChanges(table.at().era)) {
      const auto made = made_at_.find({table.at().era, row.version});
      const bool acknowledged =
          made == made_at_.end() || made->second < *current;
      const auto known = rows.find(row.key);
      const bool has_it = known == rows.end()
                              ? row.removed
                              : known->second.version >= row.version;
      if (acknowledged && !has_it) {
        missed.push_back(row.key);
      }
    }
    return missed;
  }

  table_model table;

 private:
  std::unique_ptr<following_node> MakeNode(bool watches) {
    auto node = std::make_unique<following_node>(
        table, now_,
        [this](const std::string& datagram) { sent_.push_back(datagram); });
    node->SetMaxPageRows(page_rows_);
    node->follower().SetWatching(watches);
    return node;
  }

  size_t page_rows_;
  time_point now_{milliseconds(500000)};
  std::map<store_position, time_point> made_at_;
  std::vector<std::string> sent_;
  std::vector<std::unique_ptr<following_node>> nodes_;
};

}  // namespace

// Guards against requests decided on old operators' tables: an answer that ends
// before the newest change was taken for all changes up to its time.
TEST_CASE("A page of changes does not make a replica current",
          "[store][follower][currency][regression]") {
  paged_fleet fleet(3, 1, 2);
  fleet.AnswerAll();
  fleet.Elapse(milliseconds(1000));
  const int changes = GENERATE(1, 2, 3, 5, 8);
  CAPTURE(changes);
  for (int i = 0; i < changes; ++i) {
    fleet.Put("tables");
  }
  fleet.Elapse(milliseconds(1000));
  SECTION("at the node that has read it") {
    for (int page = 0; page < changes; ++page) {
      fleet.node(0).AnswerStore();
      CHECK(fleet.MissedBy(0).empty());
    }
  }
  SECTION("at a node that is told of it") {
    fleet.node(0).AnswerStore();
    for (const std::string& datagram : fleet.TakeSent()) {
      fleet.node(1).Receive(datagram);
      CHECK(fleet.MissedBy(1).empty());
    }
  }
  SECTION("at a node that hears how current the first one is") {
    fleet.node(0).AnswerStore();
    fleet.node(2).AnswerStore();
    fleet.Report(0, 2);
    CHECK(fleet.MissedBy(2).empty());
    fleet.Report(0, 1);
    CHECK(fleet.MissedBy(1).empty());
  }
}

// Guards against a node that stays behind: the end of a page was taken for the
// newest change, so that a later one of which a peer had told was forgotten.
TEST_CASE("A page of changes leaves a later change that a peer has told",
          "[store][follower][currency][regression]") {
  paged_fleet fleet(2, 2, 2);
  fleet.node(1).follower().SetWatching(false);
  fleet.AnswerAll();
  for (int i = 0; i < 6; ++i) {
    fleet.Put("key" + std::to_string(i));
  }
  fleet.node(0).SetMaxPageRows(100);
  fleet.node(0).AnswerStore();
  fleet.Report(0, 1);
  for (int page = 0; page < 4; ++page) {
    fleet.node(1).AnswerStore();
  }
  CHECK(fleet.node(1).rows() == fleet.table.Rows());
}

// The other ways in which a node learns how current it is.
TEST_CASE("What a node learns late does not make it more current",
          "[store][follower][currency]") {
  paged_fleet fleet(2, 2, 100);
  fleet.AnswerAll();
  fleet.Elapse(milliseconds(1000));
  SECTION("an answer that waits while the process stands still") {
    fleet.node(0).LetStoreAnswer();
    fleet.Elapse(milliseconds(1000));
    fleet.Put("tables");
    fleet.Elapse(milliseconds(2000));
    fleet.node(0).AnswerStoreOnly();
    CHECK(fleet.CurrentAsOf(0) < fleet.now() - milliseconds(2000));
  }
  SECTION("a position that was told before a cut") {
    fleet.node(1).AnswerStore();
    const table_position told = *fleet.node(1).follower().position();
    fleet.Elapse(milliseconds(1000));
    fleet.Put("tables");
    fleet.Elapse(milliseconds(2000));
    fleet.node(0).follower().OnPeerReport(told);
    CHECK(fleet.CurrentAsOf(0) < fleet.now() - milliseconds(2000));
  }
  SECTION("changes that were passed on before a cut") {
    fleet.Put("tables");
    fleet.node(1).AnswerStore();
    const std::vector<std::string> sent = fleet.TakeSent();
    fleet.Elapse(milliseconds(1000));
    fleet.Put("tables");
    fleet.Elapse(milliseconds(2000));
    REQUIRE(sent.size() == 1);
    fleet.node(0).Receive(sent.front());
    CHECK(fleet.CurrentAsOf(0) < fleet.now() - milliseconds(2000));
  }
  SECTION("the first read after a restart") {
    fleet.Restart(0);
    fleet.node(0).LetStoreAnswer();
    fleet.Elapse(milliseconds(1000));
    fleet.Put("tables");
    fleet.Elapse(milliseconds(2000));
    fleet.Report(1, 0);
    fleet.node(0).AnswerStoreOnly();
    CHECK(fleet.CurrentAsOf(0) < fleet.now() - milliseconds(2000));
  }
  SECTION("a position of the era before a restore") {
    fleet.Put("tables");
    fleet.table.MakeCopy();
    fleet.Put("tables");
    fleet.node(1).AnswerStore();
    const table_position told = *fleet.node(1).follower().position();
    fleet.table.Restore();
    fleet.node(0).AnswerStore();
    fleet.node(0).AnswerStore();
    const std::optional<time_point> read_at = fleet.CurrentAsOf(0);
    fleet.Elapse(milliseconds(1000));
    fleet.Put("tables");
    fleet.node(0).follower().OnPeerReport(told);
    CHECK(fleet.CurrentAsOf(0) == read_at);
  }
  CHECK(fleet.MissedBy(0).empty());
}

// Guards against the same cause in any other way to the belief: own reads and
// watches, peers' changes and positions, restarts, cuts, freezes and restores.
TEST_CASE("No acknowledged change is missing at a node that is current",
          "[store][follower][currency][restored][property]") {
  const unsigned seed = GENERATE(range(1U, 201U));
  std::minstd_rand random(seed);
  const auto up_to = [&random](size_t count) { return random() % count; };
  paged_fleet fleet(5, 2, 1 + up_to(4));
  std::vector<std::vector<std::string>> inboxes(fleet.size());
  std::vector<table_position> reports;
  for (int step = 0; step < 500; ++step) {
    fleet.Elapse(milliseconds(up_to(3)));
    const size_t who = up_to(fleet.size());
    following_node& node = fleet.node(who);
    std::vector<std::string>& inbox = inboxes[who];
    const size_t kind = up_to(200);
    if (kind < 20) {
      for (size_t rows = 1 + up_to(6); rows > 0; --rows) {
        fleet.Put("key" + std::to_string(up_to(8)));
      }
    } else if (kind < 24) {
      fleet.Remove("key" + std::to_string(up_to(8)));
    } else if (kind < 26) {
      fleet.table.ChangeOtherTable();
    } else if (kind < 28) {
      fleet.table.MakeCopy();
    } else if (kind < 29) {
      fleet.table.Restore();
    } else if (kind < 30) {
      fleet.Restart(who);
      inbox.clear();
    } else if (kind < 50) {
      // The answer waits in the socket while the process stands still.
      node.LetStoreAnswer();
    } else if (kind < 52) {
      fleet.Elapse(milliseconds(2000));
    } else if (kind < 85) {
      node.AnswerStoreOnly();
    } else if (kind < 110) {
      node.Continue();
    } else if (kind < 111) {
      node.follower().SetWatching(up_to(2) == 0);
    } else if (kind < 120 && node.follower().position().has_value()) {
      reports.push_back(*node.follower().position());
    } else if (kind < 145 && !reports.empty()) {
      node.follower().OnPeerReport(reports[up_to(reports.size())]);
    } else if (kind < 155 && !inbox.empty()) {
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
      REQUIRE(fleet.MissedBy(i).empty());
    }
  }
}

}  // namespace skylarkcroft
