#include <catch2/catch.hpp>
#include <memory>

#include "skylarkcroft/tables/skylarkcroft_active_tables.h"

namespace skylarkcroft {
namespace {

table_set_ptr TablesAtRevision(int64_t revision) {
  auto tables = std::make_shared<table_set>();
  tables->revision = revision;
  return tables;
}

constexpr milliseconds kStalenessBound{3000};

TEST_CASE("the active revision never goes down", "[tables][revision]") {
  active_tables tables;
  const time_point now{};
  int changes = 0;
  tables.AddListener([&](const table_set_ptr&) { ++changes; });
  CHECK(tables.Adopt(TablesAtRevision(5), now));
  CHECK_FALSE(tables.Adopt(TablesAtRevision(4), now));
  CHECK_FALSE(tables.Adopt(TablesAtRevision(5), now));
  CHECK(tables.current()->revision == 5);
  CHECK(changes == 1);
}

TEST_CASE("serving needs tables confirmed within the staleness bound",
          "[tables][revision]") {
  active_tables tables;
  const time_point start{};
  CHECK_FALSE(tables.MayServe(start, kStalenessBound));
  tables.Adopt(TablesAtRevision(5), start);
  CHECK(tables.MayServe(start + kStalenessBound, kStalenessBound));
  CHECK_FALSE(tables.MayServe(start + kStalenessBound + milliseconds(1),
                              kStalenessBound));
  SECTION("serving continues when the active revision is confirmed again") {
    tables.RecordNewestRevision(5, start + kStalenessBound);
    CHECK(tables.MayServe(start + 2 * kStalenessBound, kStalenessBound));
  }
  SECTION("a response confirms the tables as of the time of its request") {
    tables.RecordNewestRevision(5, start + milliseconds(100));
    CHECK(tables.MayServe(start + kStalenessBound + milliseconds(100),
                          kStalenessBound));
    CHECK_FALSE(tables.MayServe(start + kStalenessBound + milliseconds(101),
                                kStalenessBound));
  }
  SECTION("a response read after a long pause does not allow serving") {
    const time_point resumed = start + 10 * kStalenessBound;
    tables.RecordNewestRevision(5, start + milliseconds(10));
    CHECK_FALSE(tables.MayServe(resumed, kStalenessBound));
  }
  SECTION("the response to an earlier request does not undo a confirmation") {
    tables.RecordNewestRevision(5, start + kStalenessBound);
    tables.RecordNewestRevision(5, start);
    CHECK(tables.MayServe(start + 2 * kStalenessBound, kStalenessBound));
  }
  SECTION("no confirmation counts until a known higher revision is adopted") {
    tables.RecordKnownRevision(6);
    tables.RecordNewestRevision(5, start + kStalenessBound);
    CHECK_FALSE(tables.MayServe(start + 2 * kStalenessBound, kStalenessBound));
    tables.Adopt(TablesAtRevision(6), start + kStalenessBound);
    CHECK(tables.MayServe(start + 2 * kStalenessBound, kStalenessBound));
  }
  SECTION("a report of a higher revision does not confirm the active one") {
    tables.RecordNewestRevision(6, start + kStalenessBound);
    CHECK_FALSE(tables.MayServe(start + 2 * kStalenessBound, kStalenessBound));
  }
  SECTION("a report of a lower revision does not confirm the active one") {
    tables.RecordNewestRevision(4, start + kStalenessBound);
    CHECK_FALSE(tables.MayServe(start + 2 * kStalenessBound, kStalenessBound));
  }
}

}  // namespace
}  // namespace skylarkcroft
