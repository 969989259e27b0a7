#include <catch2/catch.hpp>
#include <memory>

#include "skylarkcroft/tables/skylarkcroft_tables_in_force.h"

namespace skylarkcroft {
namespace {

table_set_ptr AtRevision(int64_t revision) {
  auto tables = std::make_shared<table_set>();
  tables->revision = revision;
  return tables;
}

constexpr milliseconds kBound{3000};

TEST_CASE("the revision in force never goes down", "[tables][revision]") {
  tables_in_force tables;
  const time_point now{};
  int changes = 0;
  tables.OnChange([&](const table_set_ptr&) { ++changes; });
  CHECK(tables.Adopt(AtRevision(5), now));
  CHECK_FALSE(tables.Adopt(AtRevision(4), now));
  CHECK_FALSE(tables.Adopt(AtRevision(5), now));
  CHECK(tables.current()->revision == 5);
  CHECK(changes == 1);
}

TEST_CASE("serving needs a table that was lately confirmed as the newest",
          "[tables][revision]") {
  tables_in_force tables;
  const time_point start{};
  CHECK_FALSE(tables.MayServe(start, kBound));
  tables.Adopt(AtRevision(5), start);
  CHECK(tables.MayServe(start + kBound, kBound));
  CHECK_FALSE(tables.MayServe(start + kBound + milliseconds(1), kBound));
  SECTION("the same revision confirmed goes on") {
    tables.NoteLatest(5, start + kBound);
    CHECK(tables.MayServe(start + 2 * kBound, kBound));
  }
  SECTION("an answer confirms as of the question") {
    tables.NoteLatest(5, start + milliseconds(100));
    CHECK(tables.MayServe(start + kBound + milliseconds(100), kBound));
    CHECK_FALSE(tables.MayServe(start + kBound + milliseconds(101), kBound));
  }
  SECTION("an answer that waited through a pause confirms nothing") {
    const time_point woken = start + 10 * kBound;
    tables.NoteLatest(5, start + milliseconds(10));
    CHECK_FALSE(tables.MayServe(woken, kBound));
  }
  SECTION("an earlier question does not take a confirmation back") {
    tables.NoteLatest(5, start + kBound);
    tables.NoteLatest(5, start);
    CHECK(tables.MayServe(start + 2 * kBound, kBound));
  }
  SECTION("nothing confirms once a higher revision is known to exist") {
    tables.NoteExists(6);
    tables.NoteLatest(5, start + kBound);
    CHECK_FALSE(tables.MayServe(start + 2 * kBound, kBound));
    tables.Adopt(AtRevision(6), start + kBound);
    CHECK(tables.MayServe(start + 2 * kBound, kBound));
  }
  SECTION("a higher revision heard of does not confirm") {
    tables.NoteLatest(6, start + kBound);
    CHECK_FALSE(tables.MayServe(start + 2 * kBound, kBound));
  }
  SECTION("a lower revision heard of does not confirm") {
    tables.NoteLatest(4, start + kBound);
    CHECK_FALSE(tables.MayServe(start + 2 * kBound, kBound));
  }
}

}  // namespace
}  // namespace skylarkcroft
