#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "skylarkcroft/quarantine/skylarkcroft_quarantine_archive.h"
#include "tests/store/memory_row_store.h"

namespace skylarkcroft {
namespace {

constexpr part_key kBad = 7;
constexpr part_key kOther = 8;

/// A node with its archive.
struct archive_bench {
  explicit archive_bench(memory_row_store& used)
      : store(used),
        archive(
            used, node, requests, [this] { return now; },
            [](store_outcome) {}) {}

  void Pass(milliseconds span, const archive_role& role) {
    for (milliseconds passed{0}; passed < span; passed += milliseconds(100)) {
      now += milliseconds(100);
      store.now += milliseconds(100);
      node.Tick(now);
      requests.Tick(now);
      archive.Tick(now, role);
      store.Answer();
    }
  }
  void Crash(uint32_t number) {
    node.RecordCrash({number, number, true, {kBad}}, now);
  }
  void Quarantine(const archive_role& role) {
    for (uint32_t number = 1; number <= 3; ++number) {
      Crash(number);
      Pass(milliseconds(500), role);
    }
  }
  [[nodiscard]] bool IsRejected(part_key part) const {
    return node.Decide({99, {part}}, now).decision !=
           quarantine_decision::kAllowed;
  }

  memory_row_store& store;
  time_point now{std::chrono::seconds(1000)};
  part_quarantine node{part_quarantine_parameters{},
                       [this](const quarantine_event&) { archive.OnChange(); }};
  request_quarantine requests{
      request_quarantine_parameters{},
      [this](const request_quarantine_event&) { archive.OnChange(); }};
  quarantine_archive archive;
};

constexpr archive_role kWriter{true, false};
constexpr archive_role kReader{false, false};
constexpr archive_role kIsolated{false, true};

}  // namespace

// Guards against crashes that begin anew after all nodes were restarted.
TEST_CASE("A quarantine outlasts the end of all nodes",
          "[quarantine][archive][regression]") {
  memory_row_store store;
  {
    archive_bench writer(store);
    writer.Quarantine(kWriter);
    writer.Pass(milliseconds(2000), kWriter);
  }
  REQUIRE(store.rows.size() == 1);
  archive_bench started(store);
  CHECK_FALSE(started.IsRejected(kBad));
  started.Pass(milliseconds(1000), kReader);
  CHECK(started.IsRejected(kBad));
  const std::vector<quarantined_parts> entries =
      started.node.Entries(started.now);
  REQUIRE(entries.size() == 1);
  CHECK(entries.front().remaining < milliseconds(118000));
}

TEST_CASE("A quarantine that was cleared is removed from the store",
          "[quarantine][archive]") {
  memory_row_store store;
  archive_bench writer(store);
  writer.Quarantine(kWriter);
  writer.Pass(milliseconds(2000), kWriter);
  REQUIRE(store.rows.size() == 1);
  writer.node.RecordSuccess({1, {kBad}}, writer.now);
  writer.Pass(milliseconds(2000), kWriter);
  CHECK(store.rows.empty());
}

TEST_CASE("A writer keeps what other nodes have stored",
          "[quarantine][archive]") {
  memory_row_store store;
  archive_bench writer(store);
  writer.Pass(milliseconds(1000), kWriter);
  const row_change row = EncodeQuarantineRow(
      {{kOther}, milliseconds(100), milliseconds(60000), 0}, store.now);
  store.rows.push_back({row.table, row.key, *row.value, 1});
  writer.Quarantine(kWriter);
  writer.Pass(milliseconds(2000), kWriter);
  CHECK(store.rows.size() == 2);
  CHECK(writer.IsRejected(kOther));
}

TEST_CASE("Calls to the store are few", "[quarantine][archive][bounds]") {
  memory_row_store store;
  archive_bench reader(store);
  reader.Quarantine(kReader);
  reader.Pass(milliseconds(60000), kReader);
  CHECK(store.reads == 1);
  CHECK(store.writes == 0);
  archive_bench writer(store);
  writer.Quarantine(kWriter);
  writer.Pass(milliseconds(60000), kWriter);
  CHECK(store.reads <= 1 + 2);
  CHECK(store.writes == 1);
}

TEST_CASE("A node that is cut off from its peers learns from the store",
          "[quarantine][archive][cut]") {
  memory_row_store store;
  archive_bench cut(store);
  cut.Pass(milliseconds(2000), kIsolated);
  archive_bench writer(store);
  writer.Quarantine(kWriter);
  writer.Pass(milliseconds(2000), kWriter);
  cut.Crash(9);
  cut.Pass(milliseconds(200), kIsolated);
  CHECK(cut.IsRejected(kBad));
}

TEST_CASE("An archive whose store is away tries again",
          "[quarantine][archive]") {
  memory_row_store store;
  const row_change row = EncodeQuarantineRow(
      {{kOther}, milliseconds(100), milliseconds(60000), 0}, store.now);
  store.rows.push_back({row.table, row.key, *row.value, 1});
  store.reachable = false;
  archive_bench node(store);
  node.Pass(milliseconds(3000), kReader);
  CHECK_FALSE(node.IsRejected(kOther));
  store.reachable = true;
  node.Pass(milliseconds(1500), kReader);
  CHECK(node.IsRejected(kOther));
}

TEST_CASE("Rows that cannot be read and those that have ended are ignored",
          "[quarantine][archive]") {
  memory_row_store store;
  store.rows.push_back({"quarantines", "a", "no json", 1});
  store.rows.push_back({"quarantines", "b", R"({"parts": []})", 2});
  const row_change old = EncodeQuarantineRow(
      {{kOther}, milliseconds(100), milliseconds(-5000), 0}, store.now);
  store.rows.push_back({old.table, old.key, *old.value, 3});
  archive_bench node(store);
  node.Pass(milliseconds(1000), kReader);
  CHECK(node.node.Entries(node.now).empty());
}

// Guards against quarantines that end with the nodes after the store has lost
// them.
TEST_CASE("What a restore of the store undid is written again once",
          "[quarantine][archive][restored][regression]") {
  constexpr archive_role kSecond{true, false, true};
  memory_row_store store;
  archive_bench writer(store);
  archive_bench second(store);
  archive_bench reader(store);
  for (archive_bench* node : {&writer, &second, &reader}) {
    node->Quarantine(kReader);
  }
  // Afterwards none of them has anything to write.
  for (archive_bench* node : {&writer, &second, &reader}) {
    node->Pass(milliseconds(2000), kWriter);
  }
  REQUIRE(store.rows.size() == 1);
  REQUIRE(store.writes == 1);
  store.rows.clear();
  store.writes = 0;
  const bool first_writes = GENERATE(true, false);
  CAPTURE(first_writes);
  for (archive_bench* node : {&writer, &second, &reader}) {
    node->archive.OnStoreRestored(node->now);
  }
  for (int i = 0; i < 60; ++i) {
    writer.Pass(milliseconds(100), first_writes ? kWriter : kReader);
    second.Pass(milliseconds(100), kSecond);
    reader.Pass(milliseconds(100), kReader);
  }
  CHECK(store.rows.size() == 1);
  CHECK(store.writes == 1);
}

TEST_CASE("A quarantine that was cleared does not come back with a copy",
          "[quarantine][archive][restored]") {
  memory_row_store store;
  archive_bench writer(store);
  writer.Quarantine(kWriter);
  writer.Pass(milliseconds(2000), kWriter);
  const std::vector<stored_row> copy = store.rows;
  REQUIRE(copy.size() == 1);
  writer.node.RecordSuccess({1, {kBad}}, writer.now);
  writer.Pass(milliseconds(2000), kWriter);
  REQUIRE(store.rows.empty());
  store.rows = copy;
  writer.archive.OnStoreRestored(writer.now);
  writer.Pass(milliseconds(2000), kWriter);
  CHECK_FALSE(writer.IsRejected(kBad));
  CHECK(store.rows.empty());
}

namespace {

constexpr request_key kBadRequest = 77;

void QuarantineRequest(archive_bench& bench, request_key request,
                       const archive_role& role) {
  for (uint32_t number = 1; number <= 3; ++number) {
    bench.requests.RecordCrash(number, request, bench.now, bench.now);
    bench.Pass(milliseconds(500), role);
  }
  bench.Pass(milliseconds(3000), role);
}

bool RejectsRequest(const archive_bench& bench, request_key request) {
  return bench.requests.Decide(request, bench.now).decision !=
         quarantine_decision::kAllowed;
}

}  // namespace

// Guards against a request that crashes upstreams anew after all nodes were
// restarted, or through a node that is cut off.
TEST_CASE("A quarantined request outlasts the end of all nodes",
          "[quarantine][archive][crashing_request]") {
  memory_row_store store;
  {
    archive_bench writer(store);
    QuarantineRequest(writer, kBadRequest, kWriter);
    REQUIRE(RejectsRequest(writer, kBadRequest));
  }
  REQUIRE(store.rows.size() == 1);
  archive_bench started(store);
  CHECK_FALSE(RejectsRequest(started, kBadRequest));
  started.Pass(milliseconds(1000), kReader);
  CHECK(RejectsRequest(started, kBadRequest));
  CHECK_FALSE(RejectsRequest(started, kBadRequest + 1));
  // Reading it is no change that would be written again.
  started.Pass(milliseconds(5000), kWriter);
  CHECK(store.writes == 1);
}

TEST_CASE("Rows of parts and of requests are kept side by side",
          "[quarantine][archive][crashing_request]") {
  memory_row_store store;
  archive_bench writer(store);
  writer.Quarantine(kWriter);
  QuarantineRequest(writer, kBadRequest, kWriter);
  REQUIRE(store.rows.size() == 2);
  archive_bench started(store);
  started.Pass(milliseconds(1000), kReader);
  CHECK(started.IsRejected(kBad));
  CHECK(RejectsRequest(started, kBadRequest));
  SECTION("a request that ended well is removed") {
    writer.requests.RecordSuccess(kBadRequest, writer.now);
    writer.Pass(milliseconds(2000), kWriter);
    CHECK(store.rows.size() == 1);
  }
  SECTION("both are written again after a restore") {
    store.rows.clear();
    writer.archive.OnStoreRestored(writer.now);
    writer.Pass(milliseconds(2000), kWriter);
    CHECK(store.rows.size() == 2);
  }
}

// Guards against a transaction that the store refuses for its size.
TEST_CASE("Many quarantined requests are written in several calls",
          "[quarantine][archive][crashing_request][bounds]") {
  constexpr request_key kRequests = 250;
  memory_row_store store;
  archive_bench writer(store);
  request_notice notice;
  for (request_key request = 1; request <= kRequests; ++request) {
    notice.quarantined.push_back(
        {request, milliseconds(100), milliseconds(600000), 0});
  }
  writer.requests.OnNotice(notice, writer.now);
  writer.Pass(milliseconds(6000), kWriter);
  CHECK(store.rows.size() == kRequests);
  CHECK(store.writes == 3);
}

// Guards against a node that ends or forgets its quarantines because of a row
// of another writer.
TEST_CASE("An odd row among the quarantines leaves the others in force",
          "[quarantine][archive][odd_entry]") {
  const std::string value = GENERATE(
      as<std::string>{}, "", "{", "[]", R"({"request": "x"})",
      R"({"request": 5, "first_crash_ms": -9223372036854775808,
          "ends_ms": 9223372036854775807, "relapses": 0})",
      R"({"request": 1e300, "first_crash_ms": 0, "ends_ms": 1,
          "relapses": 0})",
      R"({"parts": [], "first_crash_ms": 0, "ends_ms": 1, "relapses": 0})",
      R"({"parts": [5], "first_crash_ms": 9223372036854775807,
          "ends_ms": -9223372036854775808, "relapses": 99999999999})");
  memory_row_store store;
  archive_bench writer(store);
  QuarantineRequest(writer, kBadRequest, kWriter);
  store.rows.push_back({"quarantines", "a", value, 1, false});
  store.rows.push_back({"quarantines", "request-z", value, 1, false});
  archive_bench started(store);
  started.Pass(milliseconds(1000), kReader);
  CHECK(RejectsRequest(started, kBadRequest));
  CHECK_FALSE(RejectsRequest(started, 5));
  CHECK_FALSE(started.IsRejected(5));
}

}  // namespace skylarkcroft
