#include <catch2/catch.hpp>
#include <string>

#include "skylarkcroft/streams/skylarkcroft_stream_row.h"
#include "tests/streams/stream_fleet.h"

namespace skylarkcroft {
namespace {

stream_fleet::parameters Size(size_t nodes, unsigned seed) {
  stream_fleet::parameters fleet;
  fleet.nodes = nodes;
  // What begins a second on deployments of these sizes.
  fleet.streams_per_second = nodes < 50 ? 80 : 450;
  fleet.seed = seed;
  return fleet;
}

/// Checks both rules: no stream holds events of two versions, and take-ups go
/// on at least half as often as new streams begin.
void CheckRules(const stream_fleet& fleet) {
  CHECK(fleet.counts.other_version == 0);
  constexpr int kLeastTakeUps = 12;
  REQUIRE(fleet.counts.gone_on + fleet.counts.rejected >= kLeastTakeUps);
  CHECK(fleet.counts.ShareGoneOn() >= 0.5 * fleet.counts.ShareBegun());
  CHECK(fleet.counts.ShareBegun() > 0.9);
}

}  // namespace

// Guards against streams joined from two versions after all nodes have lost
// their memory, and against refusing take-ups instead.
TEST_CASE("Streams go on at their version after all nodes lost power",
          "[streams][model][regression]") {
  const unsigned seed = GENERATE(range(1U, 6U));
  const size_t nodes = GENERATE(size_t{7}, size_t{89}, size_t{195});
  if (nodes > 7 && seed > 1) {
    return;
  }
  CAPTURE(seed, nodes);
  stream_fleet fleet(Size(nodes, seed));
  fleet.List({{"v1", 18}});
  fleet.Run(milliseconds(10000));
  fleet.counts = {};
  SECTION("with one version") {
    fleet.LosePower(milliseconds(2000));
    fleet.Run(milliseconds(8000));
    CheckRules(fleet);
  }
  SECTION("during a release") {
    fleet.List({{"v1", 12}, {"v2", 6}});
    fleet.Run(milliseconds(4000));
    fleet.LosePower(milliseconds(2000));
    fleet.Run(milliseconds(8000));
    CheckRules(fleet);
  }
  SECTION("just after the release") {
    fleet.List({{"v1", 6}, {"v2", 12}});
    fleet.Run(milliseconds(4000));
    fleet.List({{"v2", 18}});
    fleet.Run(milliseconds(1000));
    fleet.LosePower(milliseconds(2000));
    fleet.Run(milliseconds(8000));
    CheckRules(fleet);
  }
  SECTION("while the versions change twice and back") {
    for (const char* version : {"v2", "v3", "v1"}) {
      fleet.List({{"v1", 9}, {version, 9}});
      fleet.Run(milliseconds(3000));
      fleet.LosePower(milliseconds(1000));
      fleet.Run(milliseconds(6000));
      fleet.List({{version, 18}});
      fleet.Run(milliseconds(1500));
      fleet.LosePower(milliseconds(1000));
      fleet.Run(milliseconds(7000));
    }
    CheckRules(fleet);
  }
  SECTION("while the store is away") {
    fleet.List({{"v1", 12}, {"v2", 6}});
    fleet.Run(milliseconds(4000));
    fleet.store.is_away = true;
    fleet.LosePower(milliseconds(1000));
    fleet.Run(milliseconds(3000));
    fleet.store.is_away = false;
    fleet.Run(milliseconds(8000));
    CHECK(fleet.counts.other_version == 0);
  }
  SECTION("while the store answers late and loses answers") {
    fleet.store.delay = milliseconds(200);
    fleet.store.lost_answers = 0.2;
    fleet.List({{"v1", 12}, {"v2", 6}});
    fleet.Run(milliseconds(6000));
    fleet.LosePower(milliseconds(2000));
    fleet.Run(milliseconds(8000));
    CHECK(fleet.counts.other_version == 0);
  }
  SECTION("after the store came back from a copy") {
    fleet.store.MakeCopy();
    fleet.Run(milliseconds(500));
    fleet.List({{"v1", 12}, {"v2", 6}});
    fleet.Run(milliseconds(4000));
    fleet.Restore();
    fleet.Run(milliseconds(GENERATE(20, 300, 3000)));
    fleet.LosePower(milliseconds(1000));
    fleet.Run(milliseconds(8000));
    CHECK(fleet.counts.other_version == 0);
  }
}

// Guards against a ledger of a new era that is taken for complete because its
// node has seen the first start of the system.
TEST_CASE("A restored store does not make the listed version the only one",
          "[streams][model][restored][regression]") {
  const unsigned seed = GENERATE(range(1U, 6U));
  CAPTURE(seed);
  stream_fleet fleet(Size(7, seed));
  fleet.List({{"v1", 18}});
  fleet.store.MakeCopy();
  fleet.Run(milliseconds(5000));
  fleet.List({{"v1", 9}, {"v2", 9}});
  fleet.Run(milliseconds(3000));
  fleet.List({{"v2", 18}});
  fleet.Run(milliseconds(500));
  fleet.Restore();
  fleet.Run(milliseconds(500));
  for (size_t i = 0; i < 7; ++i) {
    fleet.Restart(i);
  }
  fleet.Run(milliseconds(8000));
  CHECK(fleet.counts.other_version == 0);
}

// Guards against streams that were begun while there was one version and are in
// no row when there are several.
TEST_CASE("Streams begun before a second version came are written with it",
          "[streams][model][regression]") {
  stream_fleet::parameters size = Size(7, 1);
  size.stream_time = milliseconds(8000);
  stream_fleet fleet(size);
  fleet.List({{"v1", 18}});
  fleet.Run(milliseconds(10000));
  fleet.has_clients = false;
  fleet.List({{"v1", 9}, {"v2", 9}});
  fleet.Run(milliseconds(1500));
  fleet.counts = {};
  fleet.LosePower(milliseconds(1000));
  fleet.Run(milliseconds(8000));
  CHECK(fleet.counts.other_version == 0);
  CHECK(fleet.counts.gone_on > 50);
  CHECK(fleet.counts.rejected == 0);
}

TEST_CASE("Streams go on at their version when single nodes end",
          "[streams][model]") {
  const size_t nodes = GENERATE(size_t{7}, size_t{89}, size_t{195});
  stream_fleet fleet(Size(nodes, 1));
  fleet.List({{"v1", 18}});
  fleet.Run(milliseconds(5000));
  fleet.List({{"v1", 9}, {"v2", 9}});
  fleet.Run(milliseconds(5000));
  for (size_t i = 0; i < nodes / 3; ++i) {
    fleet.Restart(i);
    fleet.Run(milliseconds(200));
  }
  fleet.Run(milliseconds(8000));
  CheckRules(fleet);
}

// Guards against a stream begun at a version that no ledger lists: after a loss
// of power it would be taken for one of the version that is listed.
TEST_CASE("No stream begins at a version before the store lists it",
          "[streams][regression]") {
  stream_fleet fleet(Size(7, 1));
  fleet.List({{"v1", 18}});
  fleet.Run(milliseconds(5000));
  fleet.store.is_away = true;
  fleet.List({{"v2", 18}});
  fleet.counts = {};
  fleet.Run(milliseconds(1000));
  CHECK(fleet.counts.begun == 0);
  fleet.store.is_away = false;
  fleet.Run(milliseconds(3000));
  fleet.counts = {};
  fleet.Run(milliseconds(1000));
  CHECK(fleet.counts.not_begun == 0);
}

TEST_CASE("Streams go on to begin while the store is away", "[streams]") {
  stream_fleet fleet(Size(7, 1));
  fleet.List({{"v1", 9}, {"v2", 9}});
  fleet.Run(milliseconds(5000));
  fleet.store.is_away = true;
  fleet.counts = {};
  fleet.Run(milliseconds(20000));
  CHECK(fleet.counts.not_begun == 0);
}

TEST_CASE("One version costs no writes, several a bounded number",
          "[streams][scale]") {
  const size_t nodes = GENERATE(size_t{7}, size_t{89}, size_t{195});
  CAPTURE(nodes);
  constexpr int kSeconds = 10;
  // What one part of the store's tables takes.
  constexpr int kWritesPerSecond = 200;
  constexpr size_t kMaxRowBytes = 65536;
  stream_fleet fleet(Size(nodes, 1));
  fleet.List({{"v1", 18}});
  fleet.Run(milliseconds(5000));
  const int writes = fleet.store.writes;
  const int reads = fleet.store.reads;
  fleet.Run(milliseconds(kSeconds * 1000));
  CHECK(fleet.store.writes == writes);
  CHECK(fleet.store.reads == reads);
  fleet.List({{"v1", 9}, {"v2", 9}});
  fleet.Run(milliseconds(3000));
  const int writes_before = fleet.store.writes;
  const size_t bytes_before = fleet.store.written_bytes;
  fleet.Run(milliseconds(kSeconds * 1000));
  const int written = fleet.store.writes - writes_before;
  UNSCOPED_INFO("writes a second: "
                << written / kSeconds << ", bytes a second: "
                << (fleet.store.written_bytes - bytes_before) / kSeconds
                << ", largest row: " << fleet.store.largest_row);
  CHECK(written < kSeconds * kWritesPerSecond / 2);
  CHECK(fleet.store.largest_row < kMaxRowBytes);
}

TEST_CASE("Rows end when one version has served long enough", "[streams]") {
  stream_fleet fleet(Size(7, 1));
  fleet.List({{"v1", 9}, {"v2", 9}});
  fleet.Run(milliseconds(5000));
  CHECK(fleet.store.rows().size() > 1);
  fleet.List({{"v2", 18}});
  // A version stays listed for two minutes, a stream can be taken up for 65 s.
  fleet.Run(milliseconds(240000));
  CHECK(fleet.store.rows().size() == 1);
  fleet.counts = {};
  fleet.LosePower(milliseconds(2000));
  fleet.Run(milliseconds(8000));
  CheckRules(fleet);
  CHECK(fleet.counts.rejected == 0);
}

// Guards against streams that are lost because their row is removed before the
// node has read which services there are.
TEST_CASE("A node that starts keeps its row until it knows the services",
          "[streams][regression]") {
  stream_fleet fleet(Size(7, 1));
  fleet.List({{"v1", 9}, {"v2", 9}});
  fleet.Run(milliseconds(5000));
  const size_t rows = fleet.store.rows().size();
  REQUIRE(rows > 1);
  fleet.has_clients = false;
  fleet.knows_services = false;
  fleet.LosePower(milliseconds(1000));
  fleet.Run(milliseconds(1000));
  CHECK(fleet.store.rows().size() == rows);
}

TEST_CASE("Rows of nodes that are gone are removed", "[streams]") {
  stream_fleet fleet(Size(7, 1));
  fleet.List({{"v1", 9}, {"v2", 9}});
  fleet.Run(milliseconds(2000));
  fleet.store.MakeCopy();
  row_transaction gone;
  gone.changes.push_back(
      {kStreamsTable, StreamRowKey("gone"),
       EncodeStreamRow(
           {std::chrono::duration_cast<milliseconds>(
                fleet.now().time_since_epoch()),
            {{{{"pool", "v1"}, {MakeStreamKey("r")}}}, milliseconds(9)}})});
  CHECK(fleet.store.Apply(&gone, fleet.now()).outcome == store_outcome::kDone);
  fleet.Run(milliseconds(200000));
  CHECK_FALSE(fleet.store.rows().contains(StreamRowKey("gone")));
}

TEST_CASE("Rows of streams are read as they were written", "[streams]") {
  const stream_row row{
      milliseconds(17),
      {{{{"pool", "v1"}, {1, 2, ~stream_key{0}}}, {{"pool", ""}, {}}},
       milliseconds(20000)}};
  CHECK(DecodeStreamRow(EncodeStreamRow(row)) == row);
  for (const char* text : {"", "[]", "{}", "{\"written_at_ms\": \"x\"}",
                           "{\"written_at_ms\": 1, \"origins\": [3]}"}) {
    CHECK_FALSE(DecodeStreamRow(text).has_value());
  }
  const stream_notice notice{"node/1", 3, row.list};
  CHECK(DecodeStreamNotice(EncodeStreamNotice(notice)) == notice);
  CHECK_FALSE(DecodeStreamNotice("streams1").has_value());
  CHECK(DecodeStreamRow(R"({"written_at_ms": 1, "life_ms": 5, "origins": [
      {"service": "s", "version": "v", "streams": "000000000000000bxyz"}]})")
            ->list.streams.at({"s", "v"}) == std::vector<stream_key>{11});
}

TEST_CASE("A ledger tells the only version when it has settled", "[streams]") {
  const store_moment start{milliseconds(1000), 1};
  const auto at = [](milliseconds::rep ms, int64_t era = 1) {
    return store_moment{milliseconds(ms), era};
  };
  const version_ledger first = version_ledger(start, true).With({"v1"}, start);
  CHECK(first.OnlyVersion(start) == "v1");
  CHECK_FALSE(first.OnlyVersion(at(1000, 2)).has_value());
  const version_ledger later = version_ledger(start, false).With({"v1"}, start);
  CHECK_FALSE(later.OnlyVersion(start).has_value());
  // A node may begin streams elsewhere for 60 s, which live for 65 s.
  CHECK_FALSE(later.OnlyVersion(at(125999)).has_value());
  CHECK(later.OnlyVersion(at(126000)) == "v1");
  const version_ledger both = first.With({"v2"}, at(2000));
  CHECK_FALSE(both.OnlyVersion(at(900000)).has_value());
  const version_ledger second = both.Without({"v1"}, at(200000));
  CHECK_FALSE(second.OnlyVersion(at(264999)).has_value());
  CHECK(second.OnlyVersion(at(265000)) == "v2");
  CHECK(DecodeLedger(EncodeLedger(second)) == second);
  CHECK(ServiceOfLedgerKey(LedgerKey("a/b", 3), 3) == "a/b");
  CHECK_FALSE(ServiceOfLedgerKey(LedgerKey("a", 3), 4).has_value());
  CHECK_FALSE(ServiceOfLedgerKey(StreamRowKey("n"), 4).has_value());
}

TEST_CASE("Known streams are bounded in number and age", "[streams]") {
  begun_streams streams(3);
  const time_point start{milliseconds(1000)};
  for (stream_key key = 1; key <= 5; ++key) {
    streams.RecordOwn(key, {"pool", "v1"},
                      start + milliseconds(static_cast<int>(key)));
  }
  CHECK(streams.size() == 3);
  CHECK_FALSE(streams.Find(1, start).has_value());
  CHECK(streams.Find(5, start) == stream_origin{"pool", "v1"});
  CHECK_FALSE(streams.Find(5, start + milliseconds(5)).has_value());
  streams.RecordWhole(5);
  streams.RecordOther(4, {"pool", "v2"}, start + milliseconds(9));
  CHECK(streams.Unfinished(1, start) ==
        stream_list{{{{"pool", "v1"}, {stream_key{4}}}}, milliseconds(4)});
  streams.DropExpired(start + milliseconds(4));
  CHECK(streams.size() == 1);
}

}  // namespace skylarkcroft
