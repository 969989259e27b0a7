#include <catch2/catch.hpp>
#include <memory>
#include <string>
#include <vector>

#include "skylarkcroft/control/skylarkcroft_lease_decision.h"
#include "skylarkcroft/control/skylarkcroft_lease_manager.h"
#include "skylarkcroft/control/skylarkcroft_lease_record.h"
#include "skylarkcroft/control/skylarkcroft_pool_lease.h"
#include "skylarkcroft/control/skylarkcroft_rendezvous.h"
#include "tests/control/memory_table_service.h"

namespace skylarkcroft {
namespace {

using std::chrono::seconds;

const lease_member kFirst{"n1", "a"};
const lease_member kSecond{"n2", "b"};
const time_point kStart{std::chrono::hours(1)};
constexpr const char* kPool = "assistant";

/// The result of reading a lease row held by `holder`.
read_result RowOf(const lease_member& holder, int64_t fence, int64_t version) {
  const lease_record record{holder, fence, 10000, false};
  return {read_outcome::kFound,
          {LeaseKey(kPool), version, EncodeLease(record)}};
}

/// A lease that `kFirst` acquired with a write sent at kStart.
pool_lease HeldLease() {
  pool_lease lease(kPool, kFirst, {});
  lease.OnRowRead({read_outcome::kMissing, {}}, kStart);
  static_cast<void>(lease.BeginWrite(lease_step::kAcquire, kStart));
  static_cast<void>(
      lease.EndWrite(row_outcome::kCommitted, kStart + seconds(1)));
  return lease;
}

}  // namespace

TEST_CASE("An encoded lease record decodes to the same record",
          "[control][lease]") {
  const lease_record record{kFirst, 7, 10000, true};
  CHECK(DecodeLease(EncodeLease(record)) == record);
  CHECK_FALSE(DecodeLease("{}").has_value());
  CHECK_FALSE(DecodeLease("no json").has_value());
}

TEST_CASE("A member takes over only a lease whose row has not changed",
          "[control][lease]") {
  const lease_parameters parameters;
  const lease_view view{4, {kFirst, 7, 10000, false}, kStart};
  const auto decide = [&](const lease_view& seen, size_t position,
                          seconds later) {
    return DecideLease(seen, kSecond, position, parameters, kStart + later);
  };
  CHECK(decide(view, 0, seconds(10)) == lease_step::kWait);
  CHECK(decide(view, 0, seconds(11)) == lease_step::kTakeOver);
  CHECK(decide(view, 1, seconds(11)) == lease_step::kWait);
  CHECK(decide(view, 1, seconds(21)) == lease_step::kTakeOver);
  CHECK(decide(view, 3, seconds(1000)) == lease_step::kIgnore);
  SECTION("a longer lease time of the holder delays the takeover") {
    const lease_view longer{4, {kFirst, 7, 30000, false}, kStart};
    CHECK(decide(longer, 0, seconds(30)) == lease_step::kWait);
    CHECK(decide(longer, 0, seconds(31)) == lease_step::kTakeOver);
  }
  SECTION("a released lease is taken over immediately") {
    const lease_view released{4, {kFirst, 7, 10000, true}, kStart};
    CHECK(decide(released, 0, seconds(0)) == lease_step::kTakeOver);
    CHECK(RecordFor(lease_step::kTakeOver, released, kSecond, parameters) ==
          lease_record{kSecond, 8, 10000, false});
  }
  SECTION("a restarted process does not count as the previous holder") {
    CHECK(DecideLease(view, {"n1", "c"}, 0, parameters, kStart + seconds(5)) ==
          lease_step::kWait);
  }
}

TEST_CASE("A holder renews its lease and releases one that belongs to others",
          "[control][lease]") {
  const lease_view view{4, {kFirst, 7, 10000, false}, kStart};
  CHECK(DecideLease(view, kFirst, 0, {}, kStart + seconds(2)) ==
        lease_step::kWait);
  CHECK(DecideLease(view, kFirst, 2, {}, kStart + seconds(3)) ==
        lease_step::kRenew);
  CHECK(DecideLease(view, kFirst, 3, {}, kStart) == lease_step::kRelease);
  CHECK(RecordFor(lease_step::kRenew, view, kFirst, {}).fence == 7);
}

TEST_CASE("The time to act counts from when the renewal was sent",
          "[control][lease]") {
  pool_lease lease = HeldLease();
  CHECK(lease.fence() == 1);
  CHECK(lease.MayAct(kStart + seconds(7)));
  CHECK_FALSE(lease.MayAct(kStart + seconds(8)));
  static_cast<void>(lease.BeginWrite(lease_step::kRenew, kStart + seconds(3)));
  CHECK_FALSE(lease.MayAct(kStart + seconds(8)));
  CHECK_FALSE(lease.EndWrite(row_outcome::kCommitted, kStart + seconds(7)));
  CHECK(lease.MayAct(kStart + seconds(10)));
  CHECK_FALSE(lease.MayAct(kStart + seconds(11)));
  CHECK(lease.acquired_at() == kStart + seconds(1));
}

TEST_CASE("A renewal with an unknown outcome is resolved by reading the row",
          "[control][lease]") {
  pool_lease lease = HeldLease();
  static_cast<void>(lease.BeginWrite(lease_step::kRenew, kStart + seconds(3)));
  REQUIRE(lease.EndWrite(row_outcome::kUnknown, kStart + seconds(5)));
  CHECK_FALSE(lease.MayAct(kStart + seconds(8)));
  SECTION("the write took effect") {
    lease.OnRowRead(RowOf(kFirst, 1, 2), kStart + seconds(6));
    CHECK(lease.MayAct(kStart + seconds(10)));
    CHECK_FALSE(lease.MayAct(kStart + seconds(11)));
  }
  SECTION("the write took effect only after it was read back") {
    lease.OnRowRead(RowOf(kFirst, 1, 1), kStart + seconds(6));
    static_cast<void>(
        lease.BeginWrite(lease_step::kRenew, kStart + seconds(7)));
    REQUIRE(lease.EndWrite(row_outcome::kConflict, kStart + seconds(7)));
    lease.OnRowRead(RowOf(kFirst, 1, 2), kStart + seconds(7));
    // Either write may have produced the row, so the earlier one counts.
    CHECK(lease.MayAct(kStart + seconds(10)));
    CHECK_FALSE(lease.MayAct(kStart + seconds(11)));
  }
  SECTION("another member took over") {
    lease.OnRowRead(RowOf(kSecond, 2, 2), kStart + seconds(6));
    CHECK_FALSE(lease.MayAct(kStart + seconds(6)));
    CHECK_FALSE(lease.acquired_at().has_value());
  }
  SECTION("the store stays unavailable") {
    lease.OnRowRead({read_outcome::kUnavailable, {}}, kStart + seconds(6));
    CHECK(lease.MayAct(kStart + seconds(7)));
    CHECK_FALSE(lease.MayAct(kStart + seconds(8)));
  }
}

TEST_CASE("A holder that was paused past its lease may not act",
          "[control][lease]") {
  pool_lease lease = HeldLease();
  const time_point order_sent = kStart + seconds(7);
  REQUIRE(lease.MayAct(order_sent));
  CHECK(lease.MayTakeEffect(order_sent, order_sent + seconds(1)));
  const time_point resumed_at = kStart + seconds(60);
  CHECK_FALSE(lease.MayAct(resumed_at));
  CHECK_FALSE(lease.MayTakeEffect(order_sent, resumed_at));
  SECTION("an order past its timeout may not take effect within the lease") {
    CHECK_FALSE(lease.MayTakeEffect(kStart + seconds(1), kStart + seconds(5)));
  }
  SECTION("a late renewal conflicts with the row of the next holder") {
    static_cast<void>(lease.BeginWrite(lease_step::kRenew, resumed_at));
    REQUIRE(lease.EndWrite(row_outcome::kConflict, resumed_at));
    CHECK_FALSE(lease.MayAct(resumed_at));
    lease.OnRowRead(RowOf(kSecond, 2, 9), resumed_at);
    CHECK_FALSE(lease.MayAct(resumed_at));
    CHECK(lease.NextStep(0, resumed_at) == lease_step::kWait);
  }
}

TEST_CASE("A fence is not issued again after the row disappears",
          "[control][lease]") {
  pool_lease lease(kPool, kFirst, {});
  lease.OnRowRead(RowOf(kSecond, 5, 3), kStart);
  lease.OnRowRead({read_outcome::kMissing, {}}, kStart + seconds(1));
  const row_write write =
      lease.BeginWrite(lease_step::kAcquire, kStart + seconds(1));
  CHECK(write.expected_version == 0);
  CHECK(DecodeLease(write.row.document)->fence == 6);
}

TEST_CASE("Rendezvous spreads pools and moves only those of a removed member",
          "[control][lease]") {
  std::vector<std::string> members;
  members.reserve(10);
  for (int number = 0; number < 10; ++number) {
    members.push_back("n" + std::to_string(number));
  }
  const std::vector<std::string> fewer(members.begin(), members.end() - 1);
  std::vector<int> held(members.size());
  for (int number = 0; number < 200; ++number) {
    const std::string pool = "p" + std::to_string(number);
    int owners = 0;
    for (size_t index = 0; index < members.size(); ++index) {
      const bool owns = RendezvousPosition(pool, members[index], members) == 0;
      owners += owns ? 1 : 0;
      held[index] += owns ? 1 : 0;
      if (owns && index + 1 < members.size()) {
        CHECK(RendezvousPosition(pool, members[index], fewer) == 0);
      }
    }
    CHECK(owners == 1);
  }
  for (const int count : held) {
    CHECK(count > 5);
    CHECK(count < 50);
  }
}

namespace {

/// Two members that share a store, with a clock that the test advances.
class lease_manager_fixture {
 public:
  lease_manager_fixture()
      : store(loop),
        commits(loop, store, "test", Options(), [this] { return now; }) {
    for (const lease_member& self : {kFirst, kSecond}) {
      managers.push_back(std::make_unique<lease_manager>(
          lease_environment{loop, store, commits, [this] { return members; },
                            [] { return std::vector<std::string>{kPool}; },
                            [this] { return now; }},
          self, lease_parameters{}));
    }
  }

  /// Advances the clock by `time` in steps of one second; in each step the
  /// `active` managers tick.
  void Advance(seconds time, const std::vector<lease_manager*>& active) {
    for (seconds passed{0}; passed < time; passed += seconds(1)) {
      for (lease_manager* manager : active) {
        manager->Tick();
      }
      loop.RunFor(milliseconds(20));
      now += seconds(1);
    }
  }

  lease_manager* First() { return managers[0].get(); }
  lease_manager* Second() { return managers[1].get(); }
  bool Acts(lease_manager* manager) {
    const pool_lease* lease = manager->Find(kPool);
    return lease != nullptr && lease->MayAct(now);
  }

  event_loop loop;
  time_point now = kStart;
  memory_table_service store;
  std::vector<std::string> members{"n1", "n2"};
  std::vector<std::unique_ptr<lease_manager>> managers;

 private:
  static group_commit_options Options() {
    group_commit_options options;
    options.window = milliseconds(0);
    options.resolve_limit = milliseconds(0);
    return options;
  }

 public:
  group_commit commits;
};

}  // namespace

TEST_CASE("One of two members holds a lease and the other takes it over",
          "[control][lease]") {
  lease_manager_fixture fixture;
  fixture.Advance(seconds(30), {fixture.First(), fixture.Second()});
  lease_manager* holder =
      fixture.Acts(fixture.First()) ? fixture.First() : fixture.Second();
  lease_manager* other =
      holder == fixture.First() ? fixture.Second() : fixture.First();
  REQUIRE(fixture.Acts(holder));
  CHECK_FALSE(fixture.Acts(other));
  CHECK(holder->Find(kPool)->fence() == 1);
  SECTION("after the holder died") {
    fixture.members = {other->self().name};
    fixture.Advance(seconds(25), {other});
    CHECK(fixture.Acts(other));
    CHECK(other->Find(kPool)->fence() == 2);
    CHECK_FALSE(fixture.Acts(holder));
  }
  SECTION("after the holder released it") {
    holder->ReleaseAll();
    fixture.loop.RunFor(milliseconds(20));
    CHECK_FALSE(fixture.Acts(holder));
    fixture.members = {other->self().name};
    fixture.Advance(seconds(6), {other});
    CHECK(fixture.Acts(other));
    CHECK(other->Find(kPool)->fence() == 2);
  }
  SECTION(
      "not while the store is unavailable, when the holder's lease expires") {
    fixture.store.unavailable = true;
    fixture.Advance(seconds(40), {holder, other});
    CHECK_FALSE(fixture.Acts(holder));
    CHECK_FALSE(fixture.Acts(other));
    fixture.store.unavailable = false;
    fixture.Advance(seconds(10), {holder, other});
    CHECK(fixture.Acts(holder) != fixture.Acts(other));
  }
  SECTION("not while only responses are lost") {
    fixture.store.lose_responses = true;
    fixture.Advance(seconds(40), {holder, other});
    CHECK(fixture.Acts(holder));
    CHECK(holder->Find(kPool)->fence() == 1);
    CHECK(holder->counts().read_backs > 0);
  }
}

}  // namespace skylarkcroft
