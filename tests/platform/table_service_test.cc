#include <catch2/catch.hpp>

#include "skylarkcroft/platform/skylarkcroft_table_service.h"
#include "tests/platform/platform_fixture.h"

namespace skylarkcroft::standin {
namespace {

using kind = row_write::kind;

constexpr milliseconds kPatient{10000};
constexpr milliseconds kImpatient{100};

row_write Put(const std::string& sort, int64_t version,
              std::optional<int64_t> expected = std::nullopt) {
  return {kind::kPut, {{"p", sort}, version, "{}"}, expected};
}

struct table_fixture : platform_fixture {
  explicit table_fixture(const platform_options& options = {},
                         milliseconds timeout = kPatient)
      : platform_fixture(options),
        tables(MakeTableServiceClient(client, platform.address(), timeout)) {}

  write_result Write(const std::vector<row_write>& writes,
                     const std::string& token) {
    return Await<write_result>(
        [&](auto done) { tables->Write(writes, token, done); });
  }
  read_result Get(const std::string& sort) {
    return Await<read_result>([&](auto done) {
      tables->Get({"p", sort}, done);
    });
  }
  query_result Query(const row_query& query) {
    return Await<query_result>([&](auto done) { tables->Query(query, done); });
  }
  std::vector<std::string> Sorts(const row_query& query) {
    const query_result result = Query(query);
    REQUIRE(result.available);
    std::vector<std::string> sorts;
    for (const table_row& row : result.rows) {
      sorts.push_back(row.key.sort);
    }
    return sorts;
  }

  std::unique_ptr<table_service> tables;
};

TEST_CASE("a written row is read back whole", "[table]") {
  table_fixture fixture;
  const table_row row{{"p", "a"}, 7, R"({"name":"caf\u00e9 \"x\""})"};
  CHECK(fixture.Get("a").outcome == read_outcome::kMissing);
  CHECK(fixture.Write({{kind::kPut, row, 0}}, "t1").outcome ==
        write_outcome::kCommitted);
  CHECK(fixture.Get("a") == read_result{read_outcome::kFound, row});
}

TEST_CASE("a failed condition stops the whole transaction and is named",
          "[table]") {
  table_fixture fixture;
  REQUIRE(fixture.Write({Put("a", 1, 0), Put("b", 1, 0)}, "t1").outcome ==
          write_outcome::kCommitted);
  SECTION("a put over an existing row") {
    CHECK(fixture.Write({Put("c", 1, 0), Put("a", 2, 0)}, "t2") ==
          write_result{write_outcome::kConflict, {1}});
  }
  SECTION("a put over another version") {
    CHECK(fixture.Write({Put("c", 1), Put("a", 3, 2), Put("b", 3, 2)}, "t2") ==
          write_result{write_outcome::kConflict, {1, 2}});
  }
  SECTION("a delete of another version") {
    const row_write remove{kind::kDelete, {{"p", "a"}, 0, ""}, 2};
    CHECK(fixture.Write({Put("c", 1), remove}, "t2") ==
          write_result{write_outcome::kConflict, {1}});
  }
  SECTION("a check of a missing row") {
    const row_write check{kind::kCheck, {{"p", "z"}, 0, ""}, 1};
    CHECK(fixture.Write({Put("c", 1), check}, "t2") ==
          write_result{write_outcome::kConflict, {1}});
  }
  CHECK(fixture.Sorts({"p", "", ""}) == std::vector<std::string>{"a", "b"});
  CHECK(fixture.Get("a").row.version == 1);
}

TEST_CASE("a transaction whose conditions hold applies every write",
          "[table]") {
  table_fixture fixture;
  REQUIRE(fixture.Write({Put("a", 1, 0), Put("b", 1, 0)}, "t1").outcome ==
          write_outcome::kCommitted);
  const row_write remove{kind::kDelete, {{"p", "b"}, 0, ""}, 1};
  const row_write check{kind::kCheck, {{"p", "z"}, 0, ""}, 0};
  CHECK(fixture.Write({Put("a", 2, 1), remove, check, Put("c", 1)}, "t2")
            .outcome == write_outcome::kCommitted);
  CHECK(fixture.Get("a").row.version == 2);
  CHECK(fixture.Sorts({"p", "", ""}) == std::vector<std::string>{"a", "c"});
}

TEST_CASE("a repeat with the same token has no second effect", "[table]") {
  table_fixture fixture;
  REQUIRE(fixture.Write({Put("a", 1, 0)}, "t1").outcome ==
          write_outcome::kCommitted);
  SECTION("within ten minutes it is answered as the first was") {
    fixture.now += std::chrono::minutes(9);
    CHECK(fixture.Write({Put("a", 1, 0)}, "t1").outcome ==
          write_outcome::kCommitted);
  }
  SECTION("later its condition is judged again") {
    fixture.now += std::chrono::minutes(10);
    CHECK(fixture.Write({Put("a", 1, 0)}, "t1").outcome ==
          write_outcome::kConflict);
  }
  SECTION("other writes under the token are rejected") {
    CHECK(fixture.Write({Put("b", 1, 0)}, "t1").outcome ==
          write_outcome::kRejected);
    CHECK(fixture.Get("b").outcome == read_outcome::kMissing);
  }
}

TEST_CASE("an invalid transaction is rejected without effect", "[table]") {
  table_fixture fixture;
  SECTION("without writes") {
    CHECK(fixture.Write({}, "t").outcome == write_outcome::kRejected);
  }
  SECTION("with two writes of one row") {
    CHECK(fixture.Write({Put("a", 1), Put("a", 2)}, "t").outcome ==
          write_outcome::kRejected);
  }
  SECTION("with too many writes") {
    std::vector<row_write> writes;
    for (size_t index = 0; index <= kMaxTransactionWrites; ++index) {
      writes.push_back(Put(std::to_string(index), 1));
    }
    CHECK(fixture.Write(writes, "t").outcome == write_outcome::kRejected);
  }
  CHECK(fixture.Sorts({"p", "", ""}).empty());
}

TEST_CASE("a query is bounded by prefix, lower bound and limit", "[table]") {
  table_fixture fixture;
  REQUIRE(fixture
              .Write({Put("a1", 1),
                      Put("a2", 1),
                      Put("a3", 1),
                      Put("b1", 1),
                      {kind::kPut, {{"q", "a1"}, 1, "{}"}, {}}},
                     "t")
              .outcome == write_outcome::kCommitted);
  using sorts = std::vector<std::string>;
  CHECK(fixture.Sorts({"p", "a", ""}) == sorts{"a1", "a2", "a3"});
  CHECK(fixture.Sorts({"p", "a", "a1"}) == sorts{"a2", "a3"});
  CHECK(fixture.Sorts({"p", "b", "a1"}) == sorts{"b1"});
  CHECK(fixture.Sorts({"p", "a", "b"}).empty());
  CHECK(fixture.Sorts({"p", "", "a2"}) == sorts{"a3", "b1"});
  CHECK(fixture.Sorts({"p", "", "", 2}) == sorts{"a1", "a2"});
  CHECK(fixture.Sorts({"none", "", ""}).empty());
}

TEST_CASE("a query follows the service's pages up to its limit", "[table]") {
  table_fixture fixture;
  const std::string large(600 * 1024, 'x');
  const std::vector<std::string> all{"0", "1", "2", "3", "4"};
  for (const std::string& sort : all) {
    REQUIRE(fixture.Write({{kind::kPut, {{"p", sort}, 1, large}, 0}}, sort)
                .outcome == write_outcome::kCommitted);
  }
  CHECK(fixture.Sorts({"p", "", ""}) == all);
  CHECK(fixture.Sorts({"p", "", "", 3}) ==
        std::vector<std::string>{"0", "1", "2"});
  // Two rows fill a page: three pages, then two for the first three rows.
  const http_result stats = fixture.Call({"GET", "/admin/stats", {}, ""});
  CHECK(stats.response.body.find(R"("reads":5)") != std::string::npos);
}

TEST_CASE("a lost answer is resolved by reading back", "[table][fault]") {
  table_fixture fixture;
  fixture.Admin("fault",
                R"({"service":"tables","mode":"lose_answer","count":1})");
  CHECK(fixture.Write({Put("a", 1, 0)}, "t1").outcome ==
        write_outcome::kUnknown);
  CHECK(fixture.Get("a").outcome == read_outcome::kFound);
  SECTION("and a repeat of the token commits") {
    CHECK(fixture.Write({Put("a", 1, 0)}, "t1").outcome ==
          write_outcome::kCommitted);
  }
}

TEST_CASE(
    "an outage leaves writes unknown, without effect, and reads "
    "unavailable",
    "[table][fault]") {
  table_fixture fixture;
  fixture.Admin("fault", R"({"service":"tables","mode":"outage","count":3})");
  CHECK(fixture.Write({Put("a", 1, 0)}, "t").outcome ==
        write_outcome::kUnknown);
  CHECK(fixture.Get("a").outcome == read_outcome::kUnavailable);
  CHECK_FALSE(fixture.Query({"p", "", ""}).available);
  CHECK(fixture.Get("a").outcome == read_outcome::kMissing);
}

TEST_CASE("a service that hangs leaves writes unknown", "[table][fault]") {
  table_fixture fixture({}, kImpatient);
  fixture.Admin("fault", R"({"service":"tables","mode":"hang","count":2})");
  CHECK(fixture.Write({Put("a", 1, 0)}, "t").outcome ==
        write_outcome::kUnknown);
  CHECK(fixture.Get("a").outcome == read_outcome::kUnavailable);
  CHECK(fixture.Get("a").outcome == read_outcome::kMissing);
}

TEST_CASE("a delayed call is answered late", "[table][fault]") {
  table_fixture fixture;
  fixture.Admin("fault", R"({"service":"tables","mode":"delay","delay_ms":5})");
  CHECK(fixture.Write({Put("a", 1, 0)}, "t").outcome ==
        write_outcome::kCommitted);
  CHECK(fixture.Get("a").outcome == read_outcome::kFound);
}

TEST_CASE("a throttled write is rejected without effect", "[table][fault]") {
  SECTION("by a fault") {
    table_fixture fixture;
    fixture.Admin("fault",
                  R"({"service":"tables","mode":"throttle","count":1})");
    CHECK(fixture.Write({Put("a", 1, 0)}, "t").outcome ==
          write_outcome::kRejected);
    CHECK(fixture.Get("a").outcome == read_outcome::kMissing);
  }
  SECTION("by the rate of writes, until it has time again") {
    platform_options options;
    options.writes_per_s = 2;
    table_fixture fixture(options);
    CHECK(fixture.Write({Put("a", 1)}, "1").outcome ==
          write_outcome::kCommitted);
    CHECK(fixture.Write({Put("b", 1)}, "2").outcome ==
          write_outcome::kCommitted);
    CHECK(fixture.Write({Put("c", 1)}, "3").outcome ==
          write_outcome::kRejected);
    CHECK(fixture.Get("c").outcome == read_outcome::kMissing);
    fixture.now += milliseconds(500);
    CHECK(fixture.Write({Put("c", 1)}, "3").outcome ==
          write_outcome::kCommitted);
  }
  SECTION("by the rate of reads") {
    platform_options options;
    options.reads_per_s = 1;
    table_fixture fixture(options);
    CHECK(fixture.Get("a").outcome == read_outcome::kMissing);
    CHECK(fixture.Get("a").outcome == read_outcome::kUnavailable);
  }
}

TEST_CASE("a write to a closed port is rejected as never sent",
          "[table][fault]") {
  table_fixture fixture;
  endpoint closed;
  {
    const platform_standin gone(fixture.loop, {});
    closed = gone.address();
  }
  fixture.tables = MakeTableServiceClient(fixture.client, closed, kPatient);
  CHECK(fixture.Write({Put("a", 1)}, "t").outcome == write_outcome::kRejected);
  CHECK(fixture.Get("a").outcome == read_outcome::kUnavailable);
}

}  // namespace
}  // namespace skylarkcroft::standin
