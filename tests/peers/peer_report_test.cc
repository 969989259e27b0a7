#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "skylarkcroft/peers/skylarkcroft_median_clock.h"
#include "skylarkcroft/peers/skylarkcroft_peer_group.h"
#include "skylarkcroft/peers/skylarkcroft_peer_report.h"
#include "skylarkcroft/peers/skylarkcroft_report_schedule.h"

namespace skylarkcroft {
namespace {

constexpr time_point kStart{std::chrono::seconds(100)};
const endpoint kAddress{"10.0.0.1", 7600};

}  // namespace

TEST_CASE("A report is unchanged after encoding and decoding", "[peers]") {
  peer_report report;
  report.node = "n1";
  report.incarnation = 5;
  report.sequence = 9;
  report.wall_ms = 1700000000000;
  report.is_draining = true;
  upstream_report upstream;
  upstream.key = UpstreamKey("u1");
  upstream.load.running = 3;
  upstream.load.prefill_tokens[2] = 700;
  upstream.load.kv_cache_tokens = 1280;
  upstream.outcomes = {1.5, 0.25};
  upstream.time_since_byte = milliseconds(350);
  report.upstreams = {upstream};
  report.quotas = {{"w", 12, -3}};
  report.usage = {{4, "w", 17}};
  report.upstreams_position =
      table_position{{3, 12345}, milliseconds(987654321), 0xfedcba9876543210};
  const std::vector<std::string> datagrams = EncodeReport(report);
  REQUIRE(datagrams.size() == 1);
  CHECK(DecodeReport(datagrams.front()) == report);
}

// Guards against reports that nodes of the version before cannot read, or whose
// speeds are mistaken for prefill tokens.
TEST_CASE("A report carries the measured speeds of engines, or none",
          "[peers][speed]") {
  peer_report report;
  report.node = "n1";
  upstream_report measured;
  measured.key = UpstreamKey("u1");
  measured.load.prefill_tokens[9] = 700;
  measured.speed = {{12, 8}, {-1.25 * 40, 40}};
  measured.pace_credit = -3;
  upstream_report unknown;
  unknown.key = UpstreamKey("u2");
  unknown.load.prefill_tokens[2] = 300;
  report.upstreams = {measured, unknown};
  const std::vector<std::string> datagrams = EncodeReport(report);
  REQUIRE(datagrams.size() == 1);
  CHECK(DecodeReport(datagrams.front()) == report);
  // A decoder that knows no speeds reads items in pairs after the first six.
  const nlohmann::json items =
      nlohmann::json::from_cbor(datagrams.front()).at(6);
  REQUIRE(items.at(0).size() == 9);
  CHECK(items.at(0).at(6) == 9);
  CHECK(items.at(0).at(7) == 700);
  CHECK(items.at(1).size() == 8);
}

TEST_CASE("A report of quotas alone fits into one packet and keeps its fields",
          "[peers][limits]") {
  constexpr int kWorkspaces = 16;
  constexpr size_t kPacketBytes = 1400;
  peer_report report;
  report.node = "frontend-zone-a-12";
  report.incarnation = 1700000000000;
  report.sequence = 100;
  report.parts = kQuotasOnlyParts;
  for (int i = 0; i < kWorkspaces; ++i) {
    report.quotas.push_back(
        {"workspace-" + std::to_string(i), 1e12, -1e6, 1e13, i % 2 == 0, true});
  }
  // Without the demand, as older versions send it.
  report.quotas.push_back({"old", 12, 3});
  const std::vector<std::string> datagrams = EncodeReport(report);
  REQUIRE(datagrams.size() == 1);
  CHECK(datagrams.front().size() <= kPacketBytes);
  CHECK(DecodeReport(datagrams.front()) == report);
}

TEST_CASE(
    "With more nodes reports are rarer, so that a node sends no more bytes",
    "[peers][scale]") {
  CHECK(ReportPeriod(7) == milliseconds(100));
  CHECK(ReportPeriod(80) == milliseconds(400));
  CHECK(ReportPeriod(350) == milliseconds(1750));
}

TEST_CASE("Each datagram of a busy node's report fits into one packet",
          "[peers][scale][regression]") {
  constexpr int kUpstreams = 170;
  constexpr int kWorkspaces = 16;
  constexpr size_t kPacketBytes = 1400;
  peer_report report;
  report.node = "frontend-zone-a-12";
  report.incarnation = 1700000000000;
  report.sequence = 100;
  for (int i = 0; i < kUpstreams; ++i) {
    upstream_report upstream;
    upstream.key = UpstreamKey(std::to_string(i));
    upstream.load.running = 3;
    upstream.load.prefill_tokens[4] = 12000;
    upstream.load.kv_cache_tokens = 40000;
    upstream.outcomes = {4, 0};
    report.upstreams.push_back(upstream);
  }
  for (const int64_t window : {353445119, 353445120}) {
    for (int i = 0; i < kWorkspaces; ++i) {
      report.usage.push_back({window, "name" + std::to_string(i), 400});
    }
  }
  for (int i = 0; i < kWorkspaces; ++i) {
    report.quotas.push_back({"name" + std::to_string(i), 1e6, 2e5});
  }
  report.tables_position =
      table_position{{1000, 1000000}, milliseconds(1000000000), UINT64_MAX};
  report.upstreams_position = report.tables_position;
  peer_report joined = report;
  joined.upstreams.clear();
  joined.usage.clear();
  int64_t sequence = report.sequence;
  for (const std::string& bytes : EncodeReport(report)) {
    CHECK(bytes.size() < kPacketBytes);
    const std::optional<peer_report> part = DecodeReport(bytes);
    REQUIRE(part.has_value());
    CHECK(part->sequence == sequence++);
    joined.upstreams.insert(joined.upstreams.end(), part->upstreams.begin(),
                            part->upstreams.end());
    joined.usage.insert(joined.usage.end(), part->usage.begin(),
                        part->usage.end());
  }
  CHECK(joined == report);
}

TEST_CASE("A typical report in a large deployment is a single datagram",
          "[peers][scale]") {
  constexpr int kUpstreams = 18;
  constexpr int kWorkspaces = 16;
  peer_report report;
  report.node = "frontend-zone-a-12";
  for (int i = 0; i < kUpstreams; ++i) {
    upstream_report upstream;
    upstream.key = UpstreamKey(std::to_string(i));
    report.upstreams.push_back(upstream);
  }
  for (int i = 0; i < kWorkspaces; ++i) {
    const std::string name = "work" + std::to_string(i);
    report.quotas.push_back({name, 1e6, 2e5});
    report.usage.push_back({1, name, 40});
  }
  CHECK(EncodeReport(report).size() == 1);
}

TEST_CASE("Reports to many peers are spread over the period",
          "[peers][scale][small_link]") {
  constexpr size_t kPeers = 80;
  constexpr size_t kMaxAtOnce = 24;
  const milliseconds period = ReportPeriod(kPeers);
  const milliseconds tick(100);
  std::vector<endpoint> targets;
  for (size_t i = 0; i < kPeers; ++i) {
    targets.push_back({"10.0.0.1", static_cast<uint16_t>(1000 + i)});
  }
  report_schedule schedule;
  schedule.NextTargets(targets, period, kStart);
  std::vector<endpoint> reported_to;
  for (milliseconds passed = tick; passed <= period; passed += tick) {
    const std::vector<endpoint> due =
        schedule.NextTargets(targets, period, kStart + passed);
    CHECK(due.size() <= kMaxAtOnce);
    reported_to.insert(reported_to.end(), due.begin(), due.end());
  }
  CHECK(reported_to == targets);
}

TEST_CASE("With few peers every report goes to all of them", "[peers]") {
  const std::vector<endpoint> targets = {kAddress, {"10.0.0.2", 7600}};
  report_schedule schedule;
  for (int i = 0; i < 10; ++i) {
    CHECK(schedule.NextTargets(targets, ReportPeriod(3),
                               kStart + i * milliseconds(100)) == targets);
  }
}

TEST_CASE("Bytes that are not a report are rejected", "[peers]") {
  CHECK_FALSE(DecodeReport("").has_value());
  CHECK_FALSE(DecodeReport("hello").has_value());
  CHECK_FALSE(DecodeReport("\x81\x01").has_value());
}

TEST_CASE("Duplicate reports and reports of a previous process are ignored",
          "[peers]") {
  peer_group group("self");
  CHECK(group.OnReport("n1", kAddress, 2, 5, false, kStart));
  CHECK_FALSE(group.OnReport("n1", kAddress, 2, 5, false, kStart));
  CHECK_FALSE(group.OnReport("n1", kAddress, 1, 99, false, kStart));
  CHECK(group.OnReport("n1", kAddress, 3, 1, false, kStart));
  CHECK_FALSE(group.OnReport("self", kAddress, 9, 1, false, kStart));
}

// Guards against a node that no peer hears for as long as its clock was set
// back: the incarnation is the wall time of the start.
TEST_CASE("A node that starts again after its clock was set back is heard",
          "[peers][clock_step][regression]") {
  peer_group group("self");
  constexpr int64_t kStarted = 10000000;
  constexpr int64_t kSetBack = 2400000;
  REQUIRE(group.OnReport("n1", kAddress, kStarted, 50, false, kStart));
  const time_point restarted = kStart + milliseconds(2000);
  CHECK(
      group.OnReport("n1", kAddress, kStarted - kSetBack, 1, false, restarted));
  CHECK(group.LivePeers(restarted) == std::vector<std::string>{"n1"});
  // A late datagram of the process before.
  CHECK_FALSE(group.OnReport("n1", kAddress, kStarted, 51, false, restarted));
  CHECK(
      group.OnReport("n1", kAddress, kStarted - kSetBack, 2, false, restarted));
}

TEST_CASE(
    "A silent peer is counted for a while but not live; a draining one is not "
    "live",
    "[peers]") {
  peer_group group("self");
  group.OnReport("n1", kAddress, 1, 1, false, kStart);
  group.OnReport("n2", kAddress, 1, 1, true, kStart);
  CHECK(group.LivePeers(kStart) == std::vector<std::string>{"n1"});
  const time_point later = kStart + milliseconds(5000);
  CHECK(group.LivePeers(later).empty());
  CHECK(group.NodeCount(later) == 3);
  CHECK(group.NodeCount(kStart + milliseconds(20000)) == 1);
}

TEST_CASE("A wrong clock on a minority of hosts does not change the time",
          "[peers][clock_step]") {
  median_clock clock;
  clock.RecordOwn(1000000 + 2000, kStart);
  clock.OnPeerReport("n1", 1000001, kStart);
  clock.OnPeerReport("n2", 1000002, kStart);
  clock.OnPeerReport("n3", 1000000, kStart);
  CHECK(clock.NowMs(kStart + milliseconds(500)) - 1000500 < 10);
}

TEST_CASE("A host without peers uses its own clock", "[peers][clock_step]") {
  median_clock clock;
  clock.RecordOwn(5000, kStart);
  CHECK(clock.NowMs(kStart + milliseconds(250)) == 5250);
}

TEST_CASE("A peer presumed gone is listed for occasional reports",
          "[peers][cut]") {
  peer_group group("n0");
  group.OnReport("n1", kAddress, 1, 1, false, kStart);
  const time_point later = kStart + milliseconds(60000);
  CHECK(group.ReportTargets(later).empty());
  CHECK(group.PresumedGone(later) == std::vector<endpoint>{kAddress});
  group.OnReport("n1", kAddress, 1, 2, false, later);
  CHECK(group.PresumedGone(later).empty());
}

// Guards against memory that grows with each node that is replaced.
TEST_CASE("Nodes that have been away for long are forgotten",
          "[peers][regression]") {
  peer_group group("n0");
  median_clock clock;
  for (int day = 0; day < 50; ++day) {
    const time_point now = kStart + std::chrono::hours(24 * day);
    for (int i = 0; i < 20; ++i) {
      const std::string name =
          "n" + std::to_string(day) + "-" + std::to_string(i);
      group.OnListed(name, kAddress, now);
      group.OnReport(name, kAddress, 1, 1, false, now);
      clock.RecordOwn(1000000, now);
      clock.OnPeerReport(name, 1000000, now);
    }
    CHECK(group.NodeCount(now) == 21);
  }
  CHECK(group.size() <= 40);
  CHECK(clock.size() <= 40);
}

}  // namespace skylarkcroft
