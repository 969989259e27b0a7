#include <rapidcheck/catch.h>

#include <catch2/catch.hpp>
#include <map>
#include <optional>
#include <random>
#include <utility>
#include <vector>

#include "skylarkcroft/store/skylarkcroft_replica_cursor.h"

namespace skylarkcroft {
namespace {

replica_cursor CursorAt(const store_position& place) {
  replica_cursor cursor;
  cursor.OnCall();
  REQUIRE(cursor.OnRead(place));
  return cursor;
}

}  // namespace

TEST_CASE("A replica begins with a whole read", "[store][cursor]") {
  replica_cursor cursor;
  CHECK(cursor.NeedsWholeRead());
  CHECK_FALSE(cursor.IsBehindPeers());
  CHECK(cursor.OnRead({1, 20}));
  CHECK_FALSE(cursor.NeedsWholeRead());
  CHECK(cursor.place() == store_position{1, 20});
}

// Guards against a newest change that is kept apart from the place.
TEST_CASE("The newest change is that of the rows up to the place",
          "[store][cursor][peers][regression]") {
  replica_cursor cursor = CursorAt({1, 20});
  CHECK(cursor.newest_change() == store_position{1, 20});
  CHECK(cursor.OnPeerChanges({1, 20}, 23, 22) == replica_step::kApply);
  CHECK(cursor.newest_change() == store_position{1, 22});
  CHECK(cursor.OnChanges({1, 20}, {1, 30}, 21) == replica_step::kApply);
  CHECK(cursor.newest_change() == store_position{1, 22});
  CHECK(cursor.OnPeerChanges({1, 31}, 32, 32) == replica_step::kIgnore);
  CHECK(cursor.newest_change() == store_position{1, 22});
  CHECK(cursor.OnRead({2, 15}));
  CHECK(cursor.newest_change() == store_position{2, 15});
}

// Guards against a replica that goes on from a version of before a restore and
// never gets the changes below it.
TEST_CASE("Changes of a later era lead to a whole read and are not applied",
          "[store][cursor][restored][regression]") {
  replica_cursor cursor = CursorAt({1, 20});
  const int64_t version = GENERATE(5, 20, 40);
  CHECK(cursor.OnChanges({1, 20}, {2, version}) == replica_step::kReadWhole);
  CHECK(cursor.NeedsWholeRead());
  CHECK(cursor.place() == store_position{1, 20});
  CHECK(cursor.OnRead({2, version}));
  CHECK(cursor.place() == store_position{2, version});
  CHECK_FALSE(cursor.NeedsWholeRead());
}

TEST_CASE("Late responses of an earlier era are ignored",
          "[store][cursor][restored]") {
  replica_cursor cursor = CursorAt({2, 10});
  CHECK(cursor.OnChanges({1, 20}, {1, 30}) == replica_step::kIgnore);
  CHECK_FALSE(cursor.OnRead({1, 30}));
  CHECK(cursor.place() == store_position{2, 10});
}

// Guards against changes of one era that are taken for those of another.
TEST_CASE("Changes that a peer passes on are of the replica's era only",
          "[store][cursor][peers][restored][regression]") {
  replica_cursor cursor = CursorAt({2, 10});
  CHECK(cursor.OnPeerChanges({1, 10}, 12) == replica_step::kIgnore);
  CHECK(cursor.OnPeerChanges({3, 10}, 12) == replica_step::kIgnore);
  CHECK(cursor.OnPeerChanges({2, 11}, 12) == replica_step::kIgnore);
  CHECK(cursor.OnPeerChanges({2, 9}, 12) == replica_step::kApply);
  CHECK(cursor.place() == store_position{2, 12});
}

// Guards against a node that takes a peer of the new era for older because its
// version is lower.
TEST_CASE("A peer of a later era is ahead whatever its version",
          "[store][cursor][peers][restored][regression]") {
  replica_cursor cursor = CursorAt({1, 50});
  CHECK(cursor.OnPeerPosition({2, 10}));
  CHECK(cursor.IsBehindPeers());
  CHECK(cursor.NeedsWholeRead());
  CHECK(cursor.LearnedEraFromPeer());
  cursor.OnCall();
  CHECK(cursor.OnRead({2, 11}));
  CHECK_FALSE(cursor.IsBehindPeers());
  CHECK_FALSE(cursor.LearnedEraFromPeer());
}

TEST_CASE("A peer of an earlier era is never ahead",
          "[store][cursor][peers][restored]") {
  replica_cursor cursor = CursorAt({2, 10});
  CHECK_FALSE(cursor.OnPeerPosition({1, 50}));
  CHECK_FALSE(cursor.IsBehindPeers());
  CHECK_FALSE(cursor.NeedsWholeRead());
}

TEST_CASE("What a peer told wrongly is settled by the store's response",
          "[store][cursor][peers]") {
  replica_cursor cursor = CursorAt({1, 10});
  CHECK(cursor.OnPeerPosition({9, 1}));
  cursor.OnCall();
  CHECK(cursor.OnRead({1, 12}));
  CHECK_FALSE(cursor.NeedsWholeRead());
  CHECK_FALSE(cursor.IsBehindPeers());
}

TEST_CASE("What a peer tells during a call is not settled by its response",
          "[store][cursor][peers]") {
  replica_cursor cursor = CursorAt({1, 10});
  cursor.OnCall();
  CHECK(cursor.OnPeerPosition({2, 4}));
  CHECK(cursor.OnChanges({1, 10}, {1, 11}) == replica_step::kApply);
  CHECK(cursor.NeedsWholeRead());
}

TEST_CASE("A store without eras is known to be restored when versions go back",
          "[store][cursor][restored]") {
  replica_cursor cursor = CursorAt({0, 20});
  SECTION("by an older version in a response") {
    CHECK(cursor.OnChanges({0, 20}, {0, 15}) == replica_step::kReadWhole);
  }
  SECTION("by history that it does not have") { cursor.OnHistoryGone(0); }
  CHECK(cursor.NeedsWholeRead());
  CHECK(cursor.OnRead({0, 15}));
  CHECK(cursor.place() == store_position{0, 15});
}

namespace {

/// One table of a store that may come back from an older copy.
class table_history {
 public:
  struct change {
    int key = 0;
    int64_t version = 0;
    int value = 0;  ///< Different for each change of all eras.

    bool operator==(const change&) const = default;
  };

  void Write(int key) {
    ++at_.version;
    log_.push_back({key, at_.version, ++last_value_});
  }
  void MakeCopy() { copy_version_ = at_.version; }
  void Restore() {
    ended_[at_.era] = log_;
    std::erase_if(log_, [this](const change& one) {
      return one.version > copy_version_;
    });
    at_ = {at_.era + 1, copy_version_};
  }

  [[nodiscard]] const store_position& at() const { return at_; }
  [[nodiscard]] std::vector<change> ChangesAfter(int64_t version) const {
    std::vector<change> changes;
    for (const change& one : log_) {
      if (one.version > version) {
        changes.push_back(one);
      }
    }
    return changes;
  }
  /// The changes up to `at`, whose era may have ended.
  [[nodiscard]] std::vector<change> ChangesUpTo(
      const store_position& at) const {
    std::vector<change> changes = at.era == at_.era ? log_ : ended_.at(at.era);
    std::erase_if(changes,
                  [&](const change& one) { return one.version > at.version; });
    return changes;
  }
  [[nodiscard]] std::map<int, int> Rows() const {
    std::map<int, int> rows;
    for (const change& one : log_) {
      rows[one.key] = one.value;
    }
    return rows;
  }

 private:
  store_position at_{1, 0};
  std::vector<change> log_;
  std::map<int64_t, std::vector<change>> ended_;
  int64_t copy_version_ = 0;
  int last_value_ = 0;
};

/// A replica of the table that calls the store and hears of a peer.
class table_replica {
 public:
  /// A response that is on its way.
  struct response {
    bool whole = false;
    store_position from;
    store_position at;
    std::map<int, int> rows;
    std::vector<table_history::change> changes;
    bool history_gone = false;
  };

  response Call(const table_history& store) {
    cursor_.OnCall();
    if (cursor_.NeedsWholeRead()) {
      return {true, {}, store.at(), store.Rows(), {}, false};
    }
    const store_position from = *cursor_.place();
    const bool gone = from.version > store.at().version;
    return {false, from, store.at(), {}, store.ChangesAfter(from.version),
            gone};
  }
  void OnResponse(const response& one) {
    const std::optional<store_position> before = cursor_.place();
    if (one.whole) {
      if (cursor_.OnRead(one.at)) {
        rows_ = one.rows;
      }
    } else if (one.history_gone) {
      cursor_.OnHistoryGone(one.at.era);
    } else if (cursor_.OnChanges(one.from, one.at) == replica_step::kApply) {
      Apply(one.changes, before->version);
    }
    RC_ASSERT(!before.has_value() || before->era <= cursor_.place()->era);
  }
  /// The other replica passes on its last changes.
  void OnPeer(const table_replica& peer, const table_history& store) {
    if (!peer.cursor_.place().has_value() || !cursor_.place().has_value()) {
      return;
    }
    const store_position told = *peer.cursor_.place();
    const int64_t known = cursor_.place()->version;
    if (cursor_.OnPeerChanges({told.era, 0}, told.version) ==
        replica_step::kApply) {
      Apply(store.ChangesUpTo(told), known);
    }
    cursor_.OnPeerPosition(told);
  }

  [[nodiscard]] const std::map<int, int>& rows() const { return rows_; }
  [[nodiscard]] const replica_cursor& cursor() const { return cursor_; }

 private:
  void Apply(const std::vector<table_history::change>& changes, int64_t known) {
    for (const table_history::change& one : changes) {
      if (one.version > known) {
        rows_[one.key] = one.value;
      }
    }
  }

  replica_cursor cursor_;
  std::map<int, int> rows_;
};

}  // namespace

// Guards against rows that are missed, or come back, after any series of
// restores, late responses and reports of peers of either era.
TEST_CASE("A replica equals the table after two calls, whatever came before",
          "[store][cursor][restored][property][regression]") {
  rc::prop("two replicas and a store", [](const std::vector<int>& steps) {
    constexpr int kKeys = 3;
    table_history store;
    std::vector<table_replica> replicas(2);
    std::vector<std::optional<table_replica::response>> late(2);
    for (const int step : steps) {
      const size_t who = static_cast<unsigned>(step) / 8 % 2;
      switch (static_cast<unsigned>(step) % 8) {
        case 0:
        case 1:
          store.Write(
              static_cast<int>(static_cast<unsigned>(step) / 8 % kKeys));
          break;
        case 2:
          store.MakeCopy();
          break;
        case 3:
          store.Restore();
          break;
        case 4:
          if (!late[who].has_value()) {
            late[who] = replicas[who].Call(store);
          }
          break;
        case 5:
          if (late[who].has_value()) {
            replicas[who].OnResponse(*late[who]);
            late[who].reset();
          }
          break;
        case 6:
          replicas[who].OnPeer(replicas[1 - who], store);
          break;
        default:
          if (!late[who].has_value()) {
            replicas[who].OnResponse(replicas[who].Call(store));
          }
          break;
      }
    }
    for (size_t who = 0; who < replicas.size(); ++who) {
      if (late[who].has_value()) {
        replicas[who].OnResponse(*late[who]);
      }
      replicas[who].OnResponse(replicas[who].Call(store));
      replicas[who].OnResponse(replicas[who].Call(store));
      RC_ASSERT(replicas[who].rows() == store.Rows());
      RC_ASSERT(replicas[who].cursor().place() == store.at());
    }
  });
}

// Guards against single nodes that stay behind for good in a fleet that hears
// of restores from peers of every era.
TEST_CASE("All nodes of a fleet equal the table after restores",
          "[store][cursor][restored][property][scale][regression]") {
  const size_t nodes = GENERATE(7U, 63U, 195U, 347U);
  for (unsigned seed = 1; seed <= 20; ++seed) {
    std::minstd_rand random(seed);
    table_history store;
    std::vector<table_replica> replicas(nodes);
    std::vector<std::optional<table_replica::response>> late(nodes);
    for (size_t step = 0; step < 30 * nodes; ++step) {
      const size_t who = random() % nodes;
      const auto kind = random() % 100;
      if (step % (10 * nodes) == 9 * nodes) {
        store.Restore();
      } else if (kind < 20) {
        store.Write(static_cast<int>(random() % 5));
      } else if (kind < 22) {
        store.MakeCopy();
      } else if (kind < 60) {
        replicas[who].OnPeer(replicas[random() % nodes], store);
      } else if (late[who].has_value()) {
        replicas[who].OnResponse(*std::exchange(late[who], {}));
      } else {
        late[who] = replicas[who].Call(store);
      }
    }
    INFO(nodes << " nodes, seed " << seed);
    CHECK(store.at().era == 4);
    for (size_t who = 0; who < nodes; ++who) {
      if (late[who].has_value()) {
        replicas[who].OnResponse(*late[who]);
      }
      replicas[who].OnResponse(replicas[who].Call(store));
      replicas[who].OnResponse(replicas[who].Call(store));
      REQUIRE(replicas[who].rows() == store.Rows());
    }
  }
}

}  // namespace skylarkcroft
