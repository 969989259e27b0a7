#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "skylarkcroft/platform/skylarkcroft_table_service.h"
#include "skylarkcroft/tables/skylarkcroft_table_rows.h"
#include "tests/node/node_fixture.h"

namespace skylarkcroft {
namespace {

constexpr int64_t kManyEdits = 1100;
constexpr int64_t kFirstRow = 3;

write_outcome Commit(node_fixture& fixture, table_service& store,
                     const std::vector<row_write>& writes) {
  std::optional<write_outcome> outcome;
  store.Write(writes, "",
              [&](const write_result& result) { outcome = result.outcome; });
  fixture.Until([&] { return outcome.has_value(); });
  return outcome.value_or(write_outcome::kUnknown);
}

table_edit PoolsEdit(const node_fixture& fixture, int64_t revision) {
  table_edit edit;
  edit.revision = revision;
  edit.table = table_kind::kPools;
  edit.edit_id = "edit-" + std::to_string(revision);
  edit.by = "n1";
  edit.document = fixture.PoolsDocument().dump();
  return edit;
}

/// Puts the log of edits up to `last`, and `last` in force.
void FillLog(node_fixture& fixture, table_service& store, int64_t last) {
  std::vector<row_write> batch;
  for (int64_t revision = kFirstRow; revision <= last; ++revision) {
    std::vector<row_write> writes =
        MakeEditWrites(PoolsEdit(fixture, revision));
    batch.push_back(writes.back());
    if (revision == last) {
      writes.front().expected_version.reset();
      batch.push_back(writes[0]);
      batch.push_back(writes[1]);
    }
    if (batch.size() >= kMaxTransactionWrites - 2 || revision == last) {
      REQUIRE(Commit(fixture, store, batch) == write_outcome::kCommitted);
      batch.clear();
    }
  }
}

TEST_CASE("a log level that is no string is refused", "[node][operators]") {
  node_fixture fixture;
  http_request request;
  request.method = "PUT";
  request.target = "/operators/loglevel";
  const endpoint& address = fixture.nodes[0]->operators_address();
  for (const std::string body :
       {R"({"level":5})", R"({"level":null})", R"({"level":["info"]})", "[]",
        "5", "", R"({"level":"loud"})"}) {
    request.body = body;
    CHECK(fixture.Call(address, request).status == 400);
  }
  request.body = R"({"level":"error"})";
  CHECK(fixture.Call(address, request).status == 200);
}

TEST_CASE("a number beyond every range is refused, not fatal",
          "[node][hostile]") {
  node_fixture fixture;
  fixture.PutTables();
  http_request request = node_fixture::Completion("x", 1, false);
  request.body = R"({"model":"m","prompt":"x","max_tokens":1e400})";
  CHECK(fixture.Call(fixture.nodes[0]->callers_address(), request).status ==
        400);
  http_request edit;
  edit.method = "PUT";
  edit.target = "/operators/pools";
  edit.body = R"({"pools":1e400})";
  CHECK(fixture.Call(fixture.nodes[0]->operators_address(), edit).status ==
        422);
}

TEST_CASE("a node without tables shows empty ones", "[node][operators]") {
  node_fixture fixture;
  const endpoint& address = fixture.nodes[0]->operators_address();
  for (const std::string table : {"routes", "pools"}) {
    const http_response reply = fixture.Get(address, "/operators/" + table);
    CHECK(reply.status == 200);
    const http_response history =
        fixture.Get(address, "/operators/" + table + "/history");
    CHECK(nlohmann::json::parse(history.body).at("edits").empty());
  }
}

TEST_CASE("the history of a table ends with its newest edit after many edits",
          "[node][operators]") {
  node_fixture fixture;
  fixture.PutTables();
  const auto store = MakeTableServiceClient(
      fixture.client, fixture.platform_address(), milliseconds(5000));
  FillLog(fixture, *store, kManyEdits);
  REQUIRE(fixture.Until(
      [&] { return fixture.RevisionOf(*fixture.nodes[0]) == kManyEdits; }));
  const http_response reply = fixture.Get(fixture.nodes[0]->operators_address(),
                                          "/operators/pools/history");
  REQUIRE(reply.status == 200);
  const nlohmann::json edits = nlohmann::json::parse(reply.body).at("edits");
  REQUIRE_FALSE(edits.empty());
  CHECK(edits.back().at("revision") == kManyEdits);
}

}  // namespace
}  // namespace skylarkcroft
