#include "platform/platform_row_store.h"

#include <catch2/catch.hpp>
#include <functional>
#include <optional>

#include "skylarkcroft/http/skylarkcroft_http_client.h"
#include "skylarkcroft/store/skylarkcroft_store_clock_mapping.h"
#include "skylarkcroft/store/skylarkcroft_table_follower.h"
#include "tests/adapter/platform_standin.h"

namespace skylarkcroft {
namespace {

struct fixture {
  store_response Call(const std::function<void(store_done_fn)>& call) {
    std::optional<store_response> answer;
    call([&](const store_response& view) {
      answer = view;
      loop.Stop();
    });
    loop.RunFor(milliseconds(5000));
    REQUIRE(answer.has_value());
    return *answer;
  }
  store_response Commit(const row_transaction& transaction) {
    return Call([&](store_done_fn done) {
      store.Commit(transaction, std::move(done));
    });
  }
  store_response Read(const std::string& table) {
    return Call(
        [&](store_done_fn done) { store.Read(table, std::move(done)); });
  }
  bool Await(const std::function<bool()>& done) {
    const auto poll = loop.Every(milliseconds(2), [&] {
      if (done()) {
        loop.Stop();
      }
    });
    loop.RunFor(milliseconds(8000));
    return done();
  }

  event_loop loop;
  platform_standin standin{loop};
  http_client client{loop};
  platform::platform_row_store store{client, standin.address()};
};

}  // namespace

TEST_CASE("Rows are read as they were written", "[adapter][store]") {
  fixture on;
  const std::string value = GENERATE(as<std::string>{}, "", "a", "ab", "abc",
                                     std::string("\0\xff\x01", 3));
  CHECK(on.Commit({{}, {{"t", "k", value}}}).outcome == store_outcome::kDone);
  const store_response view = on.Read("t");
  REQUIRE(view.rows.size() == 1);
  CHECK(view.rows.front().key == "k");
  CHECK(view.rows.front().value == value);
  CHECK(view.responded_at.has_value());
}

TEST_CASE("A condition that fails writes nothing and tells the row",
          "[adapter][store]") {
  fixture on;
  on.standin.Put("t", "k", "other");
  const store_response view =
      on.Commit({{{"t", "k", 0}}, {{"t", "k", "mine"}}});
  CHECK(view.outcome == store_outcome::kConflict);
  REQUIRE(view.rows.size() == 1);
  CHECK(view.rows.front().value == "other");
  CHECK(on.Read("t").rows.front().value == "other");
}

TEST_CASE("A refusal and a silence of the store are told apart",
          "[adapter][store]") {
  fixture on;
  on.standin.fault = store_fault::kRefuse;
  CHECK(on.Read("t").outcome == store_outcome::kRefused);
  on.standin.fault = store_fault::kSilent;
  CHECK(on.Read("t").outcome == store_outcome::kUnknown);
  on.standin.fault = store_fault::kLoseAnswer;
  CHECK(on.Commit({{}, {{"t", "k", "v"}}}).outcome == store_outcome::kUnknown);
  on.standin.fault = store_fault::kNone;
  CHECK(on.Read("t").rows.size() == 1);
}

TEST_CASE("A follower sees changes, removals and lost history",
          "[adapter][store][follower]") {
  fixture on;
  on.standin.Put("t", "a", "1");
  std::map<std::string, std::string> copy;
  int resets = 0;
  table_follower_parameters terms;
  terms.change_delay = milliseconds(5);
  terms.watch_timeout = milliseconds(100);
  table_follower follower(
      on.loop, on.store, "t", terms,
      {[&](const std::vector<stored_row>& rows, time_point) {
         ++resets;
         copy.clear();
         for (const stored_row& row : rows) {
           copy[row.key] = row.value;
         }
       },
       [&](const stored_row& row, time_point) {
         if (row.removed) {
           copy.erase(row.key);
         } else {
           copy[row.key] = row.value;
         }
       },
       [](bool, store_outcome, time_point) {}},
      SteadyNow);
  follower.Start();
  REQUIRE(on.Await([&] { return copy["a"] == "1"; }));
  on.standin.Put("t", "b", "2");
  REQUIRE(on.Await([&] { return copy["b"] == "2"; }));
  on.standin.Drop("t", "a");
  REQUIRE(on.Await([&] { return !copy.contains("a"); }));
  on.standin.Put("u", "x", "other table");
  on.standin.Put("t", "c", "3");
  on.standin.ForgetHistory();
  REQUIRE(on.Await([&] { return copy["c"] == "3"; }));
  CHECK(copy["b"] == "2");
}

TEST_CASE("A follower is current as of the store's last answer",
          "[adapter][store][follower]") {
  fixture on;
  table_follower_parameters terms;
  terms.watch_timeout = milliseconds(300);
  std::vector<bool> contacts;
  table_follower follower(on.loop, on.store, "t", terms,
                          {[](const std::vector<stored_row>&, time_point) {},
                           [](const stored_row&, time_point) {},
                           [&](bool reachable, store_outcome, time_point) {
                             contacts.push_back(reachable);
                           }},
                          SteadyNow);
  follower.Start();
  REQUIRE(on.Await([&] { return on.standin.store_calls >= 4; }));
  CHECK(SteadyNow() - *follower.current_as_of() < milliseconds(290));
  on.standin.fault = store_fault::kRefuse;
  REQUIRE(on.Await([&] { return contacts.size() == 2; }));
  const time_point as_of = *follower.current_as_of();
  on.loop.RunFor(milliseconds(300));
  CHECK(*follower.current_as_of() == as_of);
  on.standin.fault = store_fault::kNone;
  REQUIRE(on.Await([&] { return contacts.size() == 3; }));
  CHECK(contacts == std::vector<bool>{true, false, true});
}

TEST_CASE("A change during a fault of the store is told by a pending watch",
          "[adapter][store][follower][regression]") {
  fixture on;
  table_follower_parameters terms;
  terms.watch_timeout = milliseconds(150);
  size_t seen = 0;
  table_follower follower(on.loop, on.store, "t", terms,
                          {[](const std::vector<stored_row>&, time_point) {},
                           [&](const stored_row&, time_point) { ++seen; },
                           [](bool, store_outcome, time_point) {}},
                          SteadyNow);
  follower.Start();
  REQUIRE(on.Await([&] { return on.standin.store_calls == 2; }));
  on.standin.fault = store_fault::kSilent;
  on.standin.Put("t", "a", "1");
  on.standin.fault = store_fault::kNone;
  CHECK(on.Await([&] { return seen == 1; }));
}

namespace {

/// A follower that does not watch, and the rows that it has seen.
class resting_follower {
 public:
  explicit resting_follower(fixture& on)
      : follower(on.loop, on.store, "t", Terms(),
                 {[this](const std::vector<stored_row>& rows, time_point) {
                    seen += rows.size();
                  },
                  [this](const stored_row&, time_point) { ++seen; },
                  [](bool, store_outcome, time_point) {}},
                 SteadyNow) {
    follower.SetWatching(false);
    follower.Start();
    REQUIRE(on.Await([this] { return follower.position().has_value(); }));
  }

  static table_follower_parameters Terms() {
    table_follower_parameters terms;
    terms.change_delay = milliseconds(5);
    terms.max_staleness = milliseconds(200);
    terms.peer_changes_delay = milliseconds(0);
    return terms;
  }
  static milliseconds StoreClock() {
    return std::chrono::duration_cast<milliseconds>(
        SteadyNow().time_since_epoch());
  }

  size_t seen = 0;
  table_follower follower;
};

}  // namespace

TEST_CASE("A follower rests while peers tell that its copy is current",
          "[adapter][store][follower][scale]") {
  fixture on;
  resting_follower one(on);
  const int calls = on.standin.store_calls;
  const int64_t newest = one.follower.position()->newest_change.version;
  for (int i = 0; i < 10; ++i) {
    on.loop.RunFor(milliseconds(50));
    one.follower.OnPeerReport({{0, newest}, resting_follower::StoreClock()});
  }
  CHECK(on.standin.store_calls == calls);
  CHECK(SteadyNow() - *one.follower.current_as_of() < milliseconds(100));
}

TEST_CASE("A follower reads at once what a peer has seen before it",
          "[adapter][store][follower]") {
  fixture on;
  resting_follower one(on);
  const int64_t newest = one.follower.position()->newest_change.version;
  on.standin.Put("t", "a", "1");
  const time_point before = *one.follower.current_as_of();
  one.follower.OnPeerReport({{0, newest + 1}, resting_follower::StoreClock()});
  CHECK(*one.follower.current_as_of() == before);
  const time_point told = SteadyNow();
  REQUIRE(on.Await([&] { return one.seen == 1; }));
  CHECK(SteadyNow() - told < milliseconds(150));
  CHECK(one.follower.position()->newest_change.version == newest + 1);
}

TEST_CASE("Changes that a peer passes on spare a call of the store",
          "[adapter][store][follower][scale][regression]") {
  fixture on;
  resting_follower one(on);
  const int calls = on.standin.store_calls;
  const int64_t known = one.follower.position()->newest_change.version;
  const milliseconds clock = resting_follower::StoreClock();
  const stored_row row{"t", "a", "1", known + 3, false};
  SECTION("when none is missing before them") {
    one.follower.OnPeerChanges({"t", known, known + 5, clock, {row}});
    CHECK(one.seen == 1);
    one.follower.OnPeerReport({{0, known + 3}, clock});
    on.loop.RunFor(milliseconds(100));
    CHECK(on.standin.store_calls == calls);
    CHECK(one.follower.position()->newest_change.version == known + 3);
  }
  SECTION("only once when they arrive twice") {
    one.follower.OnPeerChanges({"t", known, known + 5, clock, {row}});
    one.follower.OnPeerChanges({"t", known, known + 5, clock, {row}});
    CHECK(one.seen == 1);
  }
  SECTION("but are not applied after a gap") {
    one.follower.OnPeerChanges({"t", known + 1, known + 5, clock, {row}});
    CHECK(one.seen == 0);
    on.standin.Put("t", "a", "1");
    one.follower.OnPeerReport({{0, known + 3}, clock});
    CHECK(on.Await([&] { return one.seen == 1; }));
    CHECK(on.standin.store_calls > calls);
  }
}

TEST_CASE("A watching follower passes on only what its peers have not got yet",
          "[adapter][store][follower][scale][regression]") {
  fixture on;
  on.standin.Put("t", "a", "1");
  std::vector<table_changes> passed_on;
  table_follower_parameters terms;
  terms.change_delay = milliseconds(5);
  table_follower follower(
      on.loop, on.store, "t", terms,
      {[](const std::vector<stored_row>&, time_point) {},
       [](const stored_row&, time_point) {},
       [](bool, store_outcome, time_point) {},
       [&](const table_changes& changes) { passed_on.push_back(changes); }},
      SteadyNow);
  follower.Start();
  REQUIRE(on.Await([&] { return follower.position().has_value(); }));
  on.loop.RunFor(milliseconds(30));
  const int64_t known = follower.position()->newest_change.version;
  // Another watching node was faster, while this one's watch is pending.
  const milliseconds clock = resting_follower::StoreClock();
  follower.OnPeerChanges(
      {"t", known, known + 1, clock, {{"t", "b", "2", known + 1, false}}});
  on.standin.Put("t", "b", "2");
  on.standin.Put("t", "c", "3");
  REQUIRE(on.Await([&] { return !passed_on.empty(); }));
  for (const table_changes& changes : passed_on) {
    CHECK(changes.after >= known + 1);
    CHECK(changes.rows.front().version > changes.after);
  }
}

TEST_CASE(
    "Many nodes refused by the store: those that do not watch ask it seldom",
    "[adapter][store][follower][scale][regression]") {
  fixture on;
  resting_follower one(on);
  on.standin.fault = store_fault::kRefuse;
  // Until the replica is so old that the follower asks the store itself.
  on.loop.RunFor(milliseconds(300));
  SECTION("while no peer reaches it") {
    const int calls = on.standin.store_calls;
    on.loop.RunFor(milliseconds(5000));
    CHECK(on.standin.store_calls - calls <= 8);
  }
  SECTION("and not at all while peers report that nothing has changed") {
    const int64_t newest = one.follower.position()->newest_change.version;
    one.follower.OnPeerReport({{0, newest}, resting_follower::StoreClock()});
    on.loop.RunFor(milliseconds(300));
    const int calls = on.standin.store_calls;
    for (int i = 0; i < 20; ++i) {
      one.follower.OnPeerReport({{0, newest}, resting_follower::StoreClock()});
      on.loop.RunFor(milliseconds(50));
    }
    CHECK(on.standin.store_calls - calls <= 1);
  }
}

// Guards against a node that learns of leaving upstreams too late after it was
// cut off: its next attempt waited out the longest backoff.
TEST_CASE("A follower that was cut off asks again when a peer is ahead of it",
          "[adapter][store][follower][cut][regression]") {
  fixture on;
  resting_follower one(on);
  on.standin.fault = store_fault::kRefuse;
  on.loop.RunFor(milliseconds(4000));
  on.standin.fault = store_fault::kNone;
  const int64_t known = one.follower.position()->newest_change.version;
  on.standin.Put("t", "a", "1");
  // The follower waits for its next attempt, which is up to 1.6 s away.
  for (int attempt = 0; attempt < 5; ++attempt) {
    on.loop.RunFor(milliseconds(10));
    one.follower.OnPeerReport({{0, known + 1}, resting_follower::StoreClock()});
  }
  on.loop.RunFor(milliseconds(500));
  CHECK(one.seen == 1);
}

TEST_CASE("A follower leaves peers time to pass on what they have seen",
          "[adapter][store][follower][scale]") {
  fixture on;
  resting_follower one(on);
  table_follower_parameters patient = resting_follower::Terms();
  patient.peer_changes_delay = milliseconds(100);
  patient.max_staleness = milliseconds(5000);
  one.follower.SetParameters(patient);
  const int calls = on.standin.store_calls;
  const int64_t known = one.follower.position()->newest_change.version;
  on.standin.Put("t", "a", "1");
  one.follower.OnPeerReport({{0, known + 1}, resting_follower::StoreClock()});
  on.loop.RunFor(milliseconds(50));
  CHECK(on.standin.store_calls == calls);
  CHECK(on.Await([&] { return one.seen == 1; }));
}

TEST_CASE("A follower asks the store itself when its peers are silent",
          "[adapter][store][follower]") {
  fixture on;
  resting_follower one(on);
  on.standin.Put("t", "a", "1");
  CHECK(on.Await([&] { return one.seen == 1; }));
}

TEST_CASE("A follower that begins to watch calls the store at once",
          "[adapter][store][follower]") {
  fixture on;
  resting_follower one(on);
  const int calls = on.standin.store_calls;
  one.follower.SetWatching(true);
  on.loop.RunFor(milliseconds(50));
  CHECK(on.standin.store_calls == calls + 1);
}

TEST_CASE("A store clock that jumped ahead is another clock",
          "[store][answer_time][regression]") {
  const time_point start{std::chrono::seconds(100)};
  store_clock_mapping time;
  time.EarliestResponseTime(start, milliseconds(5000), start + milliseconds(4));
  const time_point later = start + milliseconds(1000);
  time.EarliestResponseTime(later, milliseconds(46000),
                            later + milliseconds(4));
  // A peer's reading of the same clock, two seconds old when it arrives.
  CHECK(time.ToLocalTime(milliseconds(46500), later + milliseconds(2500)) ==
        later + milliseconds(500));
}

TEST_CASE("A reading of another store clock says nothing",
          "[store][answer_time]") {
  const time_point start{std::chrono::seconds(100)};
  store_clock_mapping time;
  CHECK_FALSE(time.ToLocalTime(milliseconds(5), start).has_value());
  time.EarliestResponseTime(start, milliseconds(5000), start + milliseconds(4));
  CHECK(time.ToLocalTime(milliseconds(5300), start + milliseconds(310)) ==
        start + milliseconds(300));
  CHECK_FALSE(time.ToLocalTime(milliseconds(900000), start + milliseconds(310))
                  .has_value());
}

TEST_CASE("An answer that waited in a frozen process is not taken for new",
          "[store][answer_time]") {
  const time_point start{std::chrono::seconds(100)};
  store_clock_mapping time;
  const milliseconds store(50000);
  time.EarliestResponseTime(start, store + milliseconds(5),
                            start + milliseconds(10));
  // Given after one second, read after eight.
  const time_point sent = start + milliseconds(1000);
  const time_point given = time.EarliestResponseTime(
      sent, store + milliseconds(2000), sent + milliseconds(8000));
  CHECK(given >= start + milliseconds(1990));
  CHECK(given <= start + milliseconds(2000));
}

TEST_CASE("An answer without the store's clock counts from its call",
          "[store][answer_time]") {
  const time_point start{std::chrono::seconds(100)};
  store_clock_mapping time;
  CHECK(time.EarliestResponseTime(start, std::nullopt,
                                  start + milliseconds(900)) == start);
}

namespace {

/// A follower with all rows of its table.
class copying_follower {
 public:
  explicit copying_follower(fixture& on)
      : follower(on.loop, on.store, "t", Terms(),
                 {[this](const std::vector<stored_row>& all, time_point) {
                    rows.clear();
                    for (const stored_row& row : all) {
                      rows[row.key] = row.value;
                    }
                  },
                  [this](const stored_row& row, time_point) {
                    rows[row.key] = row.value;
                  },
                  [](bool, store_outcome, time_point) {}},
                 SteadyNow) {}

  static table_follower_parameters Terms() {
    table_follower_parameters terms;
    terms.change_delay = milliseconds(5);
    terms.watch_timeout = milliseconds(100);
    terms.max_staleness = milliseconds(200);
    terms.peer_changes_delay = milliseconds(0);
    return terms;
  }

  std::map<std::string, std::string> rows;
  table_follower follower;
};

}  // namespace

// Guards against a replica that misses what was written after a restore below
// the version that it knew, and keeps what the restore undid.
TEST_CASE("A follower catches up with a store that came back from a copy",
          "[adapter][store][follower][restored][regression]") {
  fixture on;
  const bool watching = GENERATE(true, false);
  const int64_t first_era = GENERATE(0, 1);
  CAPTURE(watching, first_era);
  on.standin.era = first_era;
  on.standin.Put("t", "a", "1");
  on.standin.MakeCopy();
  copying_follower one(on);
  one.follower.SetWatching(watching);
  one.follower.Start();
  for (int i = 0; i < 4; ++i) {
    on.standin.Put("t", "lost", std::to_string(i));
  }
  on.standin.Put("t", "a", "2");
  REQUIRE(on.Await([&] { return one.rows["a"] == "2"; }));
  on.standin.fault = store_fault::kRefuse;
  on.standin.RestoreCopy();
  on.loop.RunFor(milliseconds(50));
  // Before the follower hears of it, versions have passed the one it knows,
  // unless the store states no era.
  on.standin.Put("t", "b", "1");
  if (first_era > 0) {
    for (int i = 0; i < 8; ++i) {
      on.standin.Put("t", "c", std::to_string(i));
    }
  }
  on.standin.fault = store_fault::kNone;
  CHECK(on.Await([&] {
    return one.rows["b"] == "1" && one.rows["a"] == "1" &&
           !one.rows.contains("lost");
  }));
}

// Guards against nodes that take a peer of the new era for older than they are.
TEST_CASE("A resting follower reads the table when a peer knows a later era",
          "[adapter][store][follower][restored][peers][regression]") {
  fixture on;
  on.standin.era = 1;
  on.standin.MakeCopy();
  on.standin.Put("t", "a", "1");
  on.standin.Put("t", "a", "2");
  copying_follower one(on);
  one.follower.SetWatching(false);
  one.follower.Start();
  REQUIRE(on.Await([&] { return one.rows["a"] == "2"; }));
  table_follower_parameters rarely = copying_follower::Terms();
  rarely.max_staleness = milliseconds(60000);
  one.follower.SetParameters(rarely);
  on.loop.RunFor(milliseconds(300));
  on.standin.RestoreCopy();
  on.standin.Put("t", "b", "1");
  one.follower.OnPeerReport({{2, 2}, resting_follower::StoreClock()});
  CHECK(on.Await([&] { return one.rows.contains("b"); }));
  CHECK(one.follower.place().era == 2);
}

// Guards against nodes that learn of a restore only from a periodic report, one
// to two seconds later at hundreds of nodes.
TEST_CASE("A watching follower tells its peers of a new era at once",
          "[adapter][store][follower][restored][peers][scale][regression]") {
  fixture on;
  on.standin.era = 1;
  on.standin.Put("t", "a", "1");
  on.standin.MakeCopy();
  std::vector<table_changes> passed_on;
  table_follower follower(
      on.loop, on.store, "t", copying_follower::Terms(),
      {[](const std::vector<stored_row>&, time_point) {},
       [](const stored_row&, time_point) {},
       [](bool, store_outcome, time_point) {},
       [&](const table_changes& changes) { passed_on.push_back(changes); }},
      SteadyNow);
  copying_follower resting(on);
  resting.follower.SetWatching(false);
  table_follower_parameters rarely = copying_follower::Terms();
  rarely.max_staleness = milliseconds(60000);
  resting.follower.SetParameters(rarely);
  follower.Start();
  resting.follower.Start();
  REQUIRE(on.Await([&] { return resting.rows.contains("a"); }));
  on.loop.RunFor(milliseconds(200));
  on.standin.RestoreCopy();
  REQUIRE(on.Await([&] { return !passed_on.empty(); }));
  CHECK(passed_on.front().era == 2);
  CHECK(passed_on.front().rows.empty());
  resting.follower.OnPeerChanges(passed_on.front());
  CHECK(on.Await([&] { return resting.follower.place().era == 2; }));
}

}  // namespace skylarkcroft
