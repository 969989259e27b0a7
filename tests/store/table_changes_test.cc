#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "skylarkcroft/store/skylarkcroft_table_changes.h"

namespace skylarkcroft {
namespace {

constexpr size_t kPacketBytes = 1400;

table_changes Changes(int rows, size_t value_bytes) {
  table_changes changes;
  changes.table = "servers";
  changes.after = 10;
  changes.up_to = 11 + 2 * rows;
  changes.store_clock = milliseconds(5000);
  for (int i = 0; i < rows; ++i) {
    changes.rows.push_back({"servers", "key" + std::to_string(i),
                            std::string(value_bytes, 'v'), 12 + 2 * i,
                            i % 2 == 1});
  }
  return changes;
}

}  // namespace

TEST_CASE("Changes are unchanged after encoding and decoding", "[store]") {
  const table_changes changes = Changes(3, 100);
  const std::vector<std::string> datagrams = EncodeChanges(changes);
  REQUIRE(datagrams.size() == 1);
  CHECK(DecodeChanges(datagrams.front()) == changes);
}

TEST_CASE("Changes without rows tell of an era", "[store][restored]") {
  const table_changes changes{"t", 40, 40, std::nullopt, {}, 3};
  const std::vector<std::string> datagrams = EncodeChanges(changes);
  REQUIRE(datagrams.size() == 1);
  CHECK(DecodeChanges(datagrams.front()) == changes);
}

TEST_CASE("Many changes are split into adjoining ranges of versions",
          "[store][scale]") {
  const table_changes changes = Changes(40, 250);
  int64_t after = changes.after;
  std::vector<stored_row> rows;
  for (const std::string& datagram : EncodeChanges(changes)) {
    CHECK(datagram.size() <= kPacketBytes);
    const std::optional<table_changes> part = DecodeChanges(datagram);
    REQUIRE(part.has_value());
    CHECK(part->after == after);
    after = part->up_to;
    rows.insert(rows.end(), part->rows.begin(), part->rows.end());
    // Only the last part says how current the table is with it.
    CHECK(part->store_clock.has_value() == (after == changes.up_to));
  }
  CHECK(after == changes.up_to);
  CHECK(rows == changes.rows);
}

TEST_CASE("Rows of one transaction are in the same datagram or left out",
          "[store]") {
  table_changes changes = Changes(6, 250);
  changes.rows[3].version = changes.rows[4].version;
  for (const std::string& datagram : EncodeChanges(changes)) {
    const std::optional<table_changes> part = DecodeChanges(datagram);
    REQUIRE(part.has_value());
    CHECK(part->rows.back().version != changes.rows[4].version - 1);
  }
  changes.rows[2].value.assign(5000, 'v');
  const std::vector<std::string> datagrams = EncodeChanges(changes);
  REQUIRE(datagrams.size() == 1);
  CHECK(DecodeChanges(datagrams.front())->up_to == changes.rows[1].version);
}

// Guards against operators' tables, which are one large row, that every node
// reads from the store after each change.
TEST_CASE("A large row has a datagram of its own where that is allowed",
          "[store][scale]") {
  table_changes changes{"op", 4, 9, milliseconds(77), {}, 1};
  changes.rows = {{"op", "small", "v", 5, false},
                  {"op", "large", std::string(8000, 'x'), 7, false},
                  {"op", "last", "w", 9, false}};
  const std::vector<std::string> datagrams = EncodeChanges(changes, 32768);
  REQUIRE(datagrams.size() == 3);
  int64_t reached = changes.after;
  std::vector<stored_row> rows;
  for (const std::string& bytes : datagrams) {
    const std::optional<table_changes> range = DecodeChanges(bytes);
    REQUIRE(range.has_value());
    CHECK(range->after == reached);
    reached = range->up_to;
    rows.insert(rows.end(), range->rows.begin(), range->rows.end());
  }
  CHECK(reached == changes.up_to);
  CHECK(rows == changes.rows);
  CHECK(EncodeChanges(changes).size() == 1);
}

TEST_CASE("A datagram that is not consistent is not decoded",
          "[store][malformed]") {
  CHECK_FALSE(DecodeChanges("").has_value());
  CHECK_FALSE(DecodeChanges("\x81\x68"
                            "changes1")
                  .has_value());
  table_changes changes = Changes(2, 10);
  SECTION("rows out of order") {
    std::swap(changes.rows[0].version, changes.rows[1].version);
  }
  SECTION("a row beyond the range") { changes.rows[1].version = 100; }
  SECTION("a row before the range") { changes.rows[0].version = 10; }
  SECTION("an empty range") {
    changes.rows.clear();
    changes.up_to = changes.after;
  }
  for (const std::string& datagram : EncodeChanges(changes)) {
    CHECK_FALSE(DecodeChanges(datagram).has_value());
  }
}

}  // namespace skylarkcroft
