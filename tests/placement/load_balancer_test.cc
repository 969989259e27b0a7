#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <string>
#include <vector>

#include "skylarkcroft/placement/skylarkcroft_load_balancer.h"

namespace skylarkcroft {
namespace {

constexpr time_point kStart{std::chrono::seconds(100)};
constexpr int64_t kCacheTokens = 600000;

upstream_entry Entry(const std::string& id, const std::string& zone = "a") {
  upstream_entry entry;
  entry.id = id;
  entry.service = "pool";
  entry.address = {"10.0.0.1", 80};
  entry.availability_zone = zone;
  entry.slots = 64;
  entry.incarnation = 1;
  return entry;
}

load_balancer Balancer(int count) {
  load_balancer balancer{load_balancer_parameters{}};
  std::vector<upstream_entry> entries;
  entries.reserve(static_cast<size_t>(count));
  for (int i = 0; i < count; ++i) {
    entries.push_back(Entry("u" + std::to_string(i)));
  }
  balancer.OnStoreContact(true, kStart);
  balancer.Reset(entries, kStart);
  return balancer;
}

placement_request Request(const std::string& session, int64_t shared = 5000,
                          int64_t own = 500) {
  placement_request request;
  request.service = "pool";
  request.availability_zone = "a";
  request.cache_tokens = kCacheTokens;
  request.shape.prompt_tokens = shared + own;
  request.shape.max_output_tokens = 100;
  request.shape.parts = {{session, shared}, {session + "-own", own}};
  return request;
}

std::string ChosenId(const load_balancer& balancer,
                     const placement_request& request,
                     time_point now = kStart) {
  const std::optional<placement> placed = balancer.Choose(request, now);
  return placed.has_value() ? placed->upstream.id : "";
}

void Send(load_balancer& balancer, const placement_request& request) {
  const std::optional<placement> placed = balancer.Choose(request, kStart);
  REQUIRE(placed.has_value());
  balancer.RecordRequestSent(placed->upstream.id, placed->work, request.shape,
                             kStart);
}

}  // namespace

TEST_CASE("All nodes send a session to the same upstream without communicating",
          "[placement][affinity]") {
  const load_balancer first_node = Balancer(8);
  const load_balancer second_node = Balancer(8);
  for (int i = 0; i < 50; ++i) {
    const placement_request request = Request("session-" + std::to_string(i));
    CHECK(ChosenId(first_node, request) == ChosenId(second_node, request));
  }
}

TEST_CASE("Sessions are spread over all upstreams", "[placement][affinity]") {
  const load_balancer balancer = Balancer(8);
  std::map<std::string, int> uses;
  for (int i = 0; i < 400; ++i) {
    ++uses[ChosenId(balancer, Request("session-" + std::to_string(i)))];
  }
  CHECK(uses.size() == 8);
  for (const auto& [id, count] : uses) {
    CHECK(count > 20);
  }
}

TEST_CASE("A hot session spills over to other upstreams once its own is busy",
          "[placement][hot_key]") {
  load_balancer balancer = Balancer(8);
  std::map<std::string, int> uses;
  for (int i = 0; i < 200; ++i) {
    const placement_request request = Request("hot");
    ++uses[ChosenId(balancer, request)];
    Send(balancer, request);
  }
  CHECK(uses.size() == 8);
  for (const auto& [id, count] : uses) {
    CHECK(count < 60);
  }
}

TEST_CASE("Requests that peers sent count like this node's own",
          "[placement][peers]") {
  load_balancer balancer = Balancer(2);
  const placement_request request = Request("s");
  const std::string preferred = ChosenId(balancer, request);
  upstream_report report;
  report.key = UpstreamKey(preferred);
  report.load.running = 40;
  report.load.prefill_tokens[0] = 60000;
  balancer.SetPeerReport({"peer"}, {report}, kStart);
  CHECK(ChosenId(balancer, request) != preferred);
  SECTION("until the peer's report has expired") {
    CHECK(ChosenId(balancer, request, kStart + milliseconds(1501)) ==
          preferred);
  }
}

TEST_CASE(
    "The prefill of less urgent requests is not ahead of an urgent request",
    "[placement][urgency]") {
  load_balancer balancer = Balancer(1);
  upstream_report report;
  report.key = UpstreamKey("u0");
  report.load.prefill_tokens[8] = 92000;
  balancer.SetPeerReport({"peer"}, {report}, kStart);
  placement_request urgent = Request("s");
  placement_request less_urgent = Request("s");
  less_urgent.urgency = 9;
  CHECK(balancer.Choose(urgent, kStart)->prefill_tokens == 0);
  CHECK(balancer.Choose(less_urgent, kStart)->prefill_tokens == 92000);
}

TEST_CASE(
    "A large prompt goes to the upstream where it stalls the fewest streams",
    "[placement][pause]") {
  load_balancer balancer = Balancer(2);
  upstream_report report;
  report.load.running = 2;
  report.key = UpstreamKey("u0");
  balancer.SetPeerReport({"peer"}, {report}, kStart);
  placement_request large = Request("s", 0, 50000);
  std::map<std::string, int> uses;
  for (int i = 0; i < 20; ++i) {
    large.shape.parts = {{"s" + std::to_string(i), 0}, {"own", 50000}};
    large.draw = i / 20.0;
    ++uses[ChosenId(balancer, large)];
  }
  CHECK(uses["u1"] == 20);
}

TEST_CASE("A request avoids an upstream that is prefilling less urgent prompts",
          "[placement][pause]") {
  load_balancer balancer = Balancer(2);
  upstream_report report;
  report.load.prefill_tokens[kUrgencyLevels - 1] = 50000;
  report.key = UpstreamKey("u0");
  balancer.SetPeerReport({"peer"}, {report}, kStart);
  for (int i = 0; i < 20; ++i) {
    CHECK(ChosenId(balancer, Request("s" + std::to_string(i), 100, 500)) ==
          "u1");
  }
}

TEST_CASE("An upstream whose KV cache is fully planned is not chosen",
          "[placement][memory]") {
  load_balancer balancer = Balancer(2);
  const placement_request request = Request("s");
  const std::string preferred = ChosenId(balancer, request);
  request_work large;
  large.kv_cache_tokens = kCacheTokens;
  balancer.RecordRequestSent(preferred, large, {}, kStart);
  CHECK(ChosenId(balancer, request) != preferred);
}

TEST_CASE(
    "An unreachable upstream is avoided after one failure and used again "
    "later",
    "[placement][crash]") {
  load_balancer balancer = Balancer(2);
  const placement_request request = Request("s");
  const std::optional<placement> placed = balancer.Choose(request, kStart);
  const std::string preferred = placed->upstream.id;
  balancer.RecordRequestSent(preferred, placed->work, request.shape, kStart);
  balancer.RecordRequestEnded(preferred, placed->work, false,
                              upstream_outcome::kUnreachable, kStart);
  CHECK(ChosenId(balancer, request) != preferred);
  CHECK(ChosenId(balancer, request, kStart + milliseconds(60000)) == preferred);
}

TEST_CASE("An upstream that fails part of its requests is avoided",
          "[placement][grey]") {
  load_balancer balancer = Balancer(2);
  const placement_request request = Request("s");
  const std::string preferred = ChosenId(balancer, request);
  for (int i = 0; i < 10; ++i) {
    balancer.RecordRequestSent(preferred, {}, {}, kStart);
    balancer.RecordRequestEnded(
        preferred, {}, true,
        i % 2 == 0 ? upstream_outcome::kFailure : upstream_outcome::kSuccess,
        kStart);
  }
  CHECK(ChosenId(balancer, request) != preferred);
}

TEST_CASE(
    "A failure rate common to a service's upstreams excludes none of them",
    "[placement][error_share]") {
  load_balancer balancer = Balancer(4);
  for (const std::string id : {"u0", "u1", "u2", "u3"}) {
    for (int i = 0; i < 20; ++i) {
      balancer.RecordRequestSent(id, {}, {}, kStart);
      const bool bad = i % 7 == 0 && id != "u3";
      balancer.RecordRequestEnded(
          id, {}, true,
          bad ? upstream_outcome::kFailure : upstream_outcome::kSuccess,
          kStart);
    }
  }
  std::map<std::string, int> uses;
  for (int i = 0; i < 100; ++i) {
    ++uses[ChosenId(balancer, Request("session-" + std::to_string(i)))];
  }
  CHECK(uses.size() == 4);
}

TEST_CASE("Nodes with the same outdated reports do not all choose one upstream",
          "[placement][herd]") {
  load_balancer balancer = Balancer(100);
  upstream_report report;
  report.load.running = 10;
  std::vector<upstream_report> reports;
  for (int i = 1; i < 100; ++i) {
    report.key = UpstreamKey("u" + std::to_string(i));
    reports.push_back(report);
  }
  balancer.SetPeerReport({"peer"}, reports, kStart);
  int sent_to_idle = 0;
  constexpr int kNodes = 80;
  for (int node = 0; node < kNodes; ++node) {
    placement_request request = Request("s" + std::to_string(node), 0);
    request.draw = static_cast<double>(node) / kNodes;
    sent_to_idle += ChosenId(balancer, request) == "u0" ? 1 : 0;
  }
  CHECK(sent_to_idle < 40);
}

TEST_CASE(
    "On-demand upstreams are avoided while reclaimable ones are available",
    "[placement][price]") {
  load_balancer balancer{load_balancer_parameters{}};
  upstream_entry cheap = Entry("cheap");
  cheap.reclaimable = true;
  balancer.Reset({Entry("dear"), cheap}, kStart);
  for (int i = 0; i < 20; ++i) {
    CHECK(ChosenId(balancer, Request("s" + std::to_string(i))) == "cheap");
  }
}

TEST_CASE("An engine that sends bytes to peers is not taken for silent",
          "[placement][overload][regression]") {
  load_balancer balancer = Balancer(1);
  Send(balancer, Request("s"));
  const time_point later = kStart + milliseconds(1500);
  CHECK(balancer.TimeSinceAnyByte("u0", later) == milliseconds(1500));
  upstream_report report;
  report.key = UpstreamKey("u0");
  SECTION("a report of a peer without bytes from it changes nothing") {
    balancer.SetPeerReport({"peer"}, {report}, later);
    CHECK(balancer.TimeSinceAnyByte("u0", later) == milliseconds(1500));
  }
  SECTION("a report of a peer with recent bytes from it counts") {
    report.time_since_byte = milliseconds(100);
    balancer.SetPeerReport({"peer"}, {report}, later);
    CHECK(balancer.TimeSinceAnyByte("u0", later) == milliseconds(100));
    CHECK(balancer.TimeSinceOwnByte("u0", later) == milliseconds(1500));
  }
}

TEST_CASE("When all upstreams are avoided one of them is still used",
          "[placement][crash]") {
  load_balancer balancer = Balancer(2);
  for (const std::string id : {"u0", "u1"}) {
    balancer.RecordRequestSent(id, {}, {}, kStart);
    balancer.RecordRequestEnded(id, {}, false, upstream_outcome::kUnreachable,
                                kStart);
  }
  CHECK_FALSE(ChosenId(balancer, Request("s")).empty());
}

TEST_CASE("A draining upstream takes no further requests",
          "[placement][drain]") {
  load_balancer balancer = Balancer(1);
  upstream_entry draining = Entry("u0");
  draining.is_draining = true;
  balancer.Put(draining, kStart);
  CHECK(ChosenId(balancer, Request("s")).empty());
  CHECK(balancer.UsableCount("pool") == 0);
}

TEST_CASE(
    "A zone starts to drain: short requests go there until just before the end",
    "[placement][drain][reclaim][regression]") {
  load_balancer balancer = Balancer(2);
  upstream_entry draining = Entry("u0");
  draining.is_draining = true;
  balancer.Put(draining, kStart);
  balancer.AllowWhileDraining("u0", kStart + milliseconds(1800));
  placement_request brief = Request("s");
  brief.shape.max_output_tokens = 20;
  placement_request lengthy = Request("s");
  lengthy.shape.max_output_tokens = 800;
  SECTION("not while other upstreams are idle") {
    CHECK(ChosenId(balancer, brief) == "u1");
  }
  SECTION("when the others are busy") {
    for (int i = 0; i < 40; ++i) {
      balancer.RecordRequestSent("u1", {0, 5000, 6000}, lengthy.shape, kStart);
    }
    CHECK(ChosenId(balancer, brief) == "u0");
    CHECK(ChosenId(balancer, brief, kStart + milliseconds(1700)) == "u1");
  }
  SECTION("not requests that would outlast it") {
    for (int i = 0; i < 40; ++i) {
      balancer.RecordRequestSent("u1", {0, 5000, 6000}, lengthy.shape, kStart);
    }
    CHECK(ChosenId(balancer, lengthy) == "u1");
  }
  SECTION("it does not count as usable") {
    CHECK(balancer.UsableCount("pool") == 1);
  }
}

TEST_CASE("An upstream removed unannounced is used on only if it answers",
          "[placement][drain][reclaim]") {
  load_balancer balancer = Balancer(1);
  const time_point now = kStart + milliseconds(10000);
  placement_request brief = Request("s");
  brief.shape.max_output_tokens = 20;
  SECTION("as one that drains") {
    balancer.RecordByte("u0", now - milliseconds(100));
    balancer.RemoveUnannounced("u0", now + milliseconds(1800), now);
    CHECK(ChosenId(balancer, brief, now) == "u0");
    CHECK(ChosenId(balancer, brief, now + milliseconds(1700)).empty());
    CHECK(balancer.DropRemoved(now + milliseconds(2000)) ==
          std::vector<std::string>{"u0"});
  }
  SECTION("not after a silence") {
    balancer.RecordByte("u0", now - milliseconds(900));
    balancer.RemoveUnannounced("u0", now + milliseconds(1800), now);
    CHECK(ChosenId(balancer, brief, now).empty());
  }
}

// Guards against an upstream that leaves just after the store's return and is
// used beyond the drain bound.
TEST_CASE("The grace period of a removed entry counts from the store's return",
          "[placement][lapse][regression]") {
  load_balancer balancer = Balancer(2);
  balancer.OnStoreContact(false, kStart);
  const time_point back = kStart + milliseconds(5000);
  balancer.OnStoreContact(true, back);
  balancer.Remove("u1", back + milliseconds(1000));
  CHECK(balancer.UsableCount("pool") == 2);
  CHECK(balancer.DropRemoved(back + milliseconds(1500)) ==
        std::vector<std::string>{"u1"});
}

// Guards against requests to an upstream that left while this node was cut off
// from the store, when peers show that the store was never away.
TEST_CASE("The grace for lapsed entries counts from the store's own return",
          "[placement][lapse][cut][regression]") {
  load_balancer balancer = Balancer(2);
  balancer.OnStoreResponse(kStart);
  balancer.OnStoreContact(false, kStart + milliseconds(500));
  const auto peers_hear = [&](int from_ms, int until_ms) {
    for (int ms = from_ms; ms <= until_ms; ms += 600) {
      balancer.OnStoreResponse(kStart + milliseconds(ms));
    }
  };
  const time_point back = kStart + milliseconds(9000);

  SECTION("peers had the store all the while") {
    peers_hear(600, 9000);
    balancer.OnStoreContact(true, back);
    balancer.Remove("u1", back);
    CHECK(balancer.UsableCount("pool") == 1);
  }
  SECTION("peers are heard again before the store") {
    peers_hear(7200, 9000);
    balancer.OnStoreContact(true, back);
    balancer.Remove("u1", back);
    CHECK(balancer.UsableCount("pool") == 1);
  }
  SECTION("the store returns for all nodes at about the same time") {
    peers_hear(8400, 9000);
    balancer.OnStoreContact(true, back);
    balancer.Remove("u1", back);
    CHECK(balancer.UsableCount("pool") == 2);
    CHECK(balancer.DropRemoved(kStart + milliseconds(8400 + 1499)).empty());
    CHECK(balancer.DropRemoved(kStart + milliseconds(8400 + 1500)).size() == 1);
  }
  SECTION("the store goes away again") {
    peers_hear(600, 3000);
    peers_hear(8400, 9000);
    balancer.OnStoreContact(true, back);
    balancer.Remove("u1", back);
    CHECK(balancer.UsableCount("pool") == 2);
  }
}

TEST_CASE("An entry removed during a store outage is kept for a grace period",
          "[placement][lapse]") {
  load_balancer balancer = Balancer(2);
  balancer.OnStoreContact(false, kStart);
  const time_point back = kStart + milliseconds(5000);
  balancer.OnStoreContact(true, back);
  balancer.Reset({Entry("u0")}, back);
  SECTION("it is used during the grace period") {
    CHECK(balancer.UsableCount("pool") == 2);
  }
  SECTION("it stays if it is registered again") {
    balancer.Put(Entry("u1"), back + milliseconds(900));
    balancer.DropRemoved(back + milliseconds(9000));
    CHECK(balancer.UsableCount("pool") == 2);
  }
  SECTION("it is dropped otherwise") {
    CHECK(balancer.DropRemoved(back + milliseconds(1499)).empty());
    CHECK(balancer.DropRemoved(back + milliseconds(1500)) ==
          std::vector<std::string>{"u1"});
    CHECK(balancer.UsableCount("pool") == 1);
  }
}

TEST_CASE("An entry removed while the store is reachable is dropped at once",
          "[placement][drain]") {
  load_balancer balancer = Balancer(2);
  balancer.Remove("u1", kStart + milliseconds(10000));
  CHECK(balancer.UsableCount("pool") == 1);
}

TEST_CASE("A new process with a known id starts without the old one's outcomes",
          "[placement][reborn]") {
  load_balancer balancer = Balancer(1);
  balancer.RecordRequestSent("u0", {}, Request("s").shape, kStart);
  balancer.RecordRequestEnded("u0", {}, false, upstream_outcome::kUnreachable,
                              kStart);
  upstream_entry restarted = Entry("u0");
  restarted.incarnation = 2;
  balancer.Put(restarted, kStart);
  CHECK(balancer.OwnUpstreamReports(kStart).empty());
}

TEST_CASE(
    "Requests to plain services prefer the own zone and less busy upstreams",
    "[placement][plain]") {
  load_balancer balancer{load_balancer_parameters{}};
  balancer.Reset({Entry("near", "a"), Entry("far", "b")}, kStart);
  placement_request request;
  request.service = "pool";
  request.availability_zone = "a";
  CHECK(ChosenId(balancer, request) == "near");
  for (int i = 0; i < 16; ++i) {
    balancer.RecordRequestSent("near", {}, {}, kStart);
  }
  CHECK(ChosenId(balancer, request) == "far");
}

// Guards against refusals by the load of engines that leave, and against a room
// that leaves out what peers sent.
TEST_CASE("The room of a service counts what all nodes run where it may go",
          "[placement][room]") {
  load_balancer balancer = Balancer(3);
  upstream_entry leaving = Entry("u2");
  leaving.is_draining = true;
  balancer.Put(leaving, kStart);
  Send(balancer, Request("session"));
  upstream_report report;
  report.key = UpstreamKey("u0");
  report.load.running = 4;
  report.load.kv_cache_tokens = 20000;
  upstream_report at_leaving = report;
  at_leaving.key = UpstreamKey("u2");
  balancer.SetPeerReport({"peer"}, {report, at_leaving}, kStart);
  const service_room room = balancer.Room("pool", kCacheTokens, kStart);
  CHECK(room.running == 5);
  CHECK(room.slots == 2 * 64);
  CHECK(room.cache_tokens == 25600);
  CHECK(room.planned_tokens == Approx(2 * 0.92 * kCacheTokens));
  CHECK(balancer.Room("other", kCacheTokens, kStart).Fill() == 0);
}

}  // namespace skylarkcroft
