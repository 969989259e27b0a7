#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <string>
#include <vector>

#include "skylarkcroft/placement/skylarkcroft_upstream_board.h"

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

upstream_board Balancer(int count) {
  upstream_board board{board_terms{}};
  std::vector<upstream_entry> entries;
  entries.reserve(static_cast<size_t>(count));
  for (int i = 0; i < count; ++i) {
    entries.push_back(Entry("u" + std::to_string(i)));
  }
  board.NoteStoreContact(true, kStart);
  board.Reset(entries, kStart);
  return board;
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

std::string ChosenId(const upstream_board& board,
                     const placement_request& request,
                     time_point now = kStart) {
  const std::optional<placement> placed = board.Choose(request, now);
  return placed.has_value() ? placed->upstream.id : "";
}

void Send(upstream_board& board, const placement_request& request) {
  const std::optional<placement> placed = board.Choose(request, kStart);
  REQUIRE(placed.has_value());
  board.NoteSent(placed->upstream.id, placed->work, request.shape, kStart);
}

}  // namespace

TEST_CASE("All nodes send a session to the same upstream without communicating",
          "[placement][affinity]") {
  const upstream_board first_node = Balancer(8);
  const upstream_board second_node = Balancer(8);
  for (int i = 0; i < 50; ++i) {
    const placement_request request = Request("session-" + std::to_string(i));
    CHECK(ChosenId(first_node, request) == ChosenId(second_node, request));
  }
}

TEST_CASE("Sessions are spread over all upstreams", "[placement][affinity]") {
  const upstream_board board = Balancer(8);
  std::map<std::string, int> uses;
  for (int i = 0; i < 400; ++i) {
    ++uses[ChosenId(board, Request("session-" + std::to_string(i)))];
  }
  CHECK(uses.size() == 8);
  for (const auto& [id, count] : uses) {
    CHECK(count > 20);
  }
}

TEST_CASE("A hot session spills over to other upstreams once its own is busy",
          "[placement][hot_key]") {
  upstream_board board = Balancer(8);
  std::map<std::string, int> uses;
  for (int i = 0; i < 200; ++i) {
    const placement_request request = Request("hot");
    ++uses[ChosenId(board, request)];
    Send(board, request);
  }
  CHECK(uses.size() == 8);
  for (const auto& [id, count] : uses) {
    CHECK(count < 60);
  }
}

TEST_CASE("Requests that peers sent count like this node's own",
          "[placement][peers]") {
  upstream_board board = Balancer(2);
  const placement_request request = Request("s");
  const std::string preferred = ChosenId(board, request);
  upstream_report report;
  report.key = UpstreamKey(preferred);
  report.load.running = 40;
  report.load.unread_tokens[0] = 60000;
  board.SetPeer({"peer"}, {report}, kStart);
  CHECK(ChosenId(board, request) != preferred);
  SECTION("until the peer's report has expired") {
    CHECK(ChosenId(board, request, kStart + milliseconds(1501)) == preferred);
  }
}

TEST_CASE(
    "The prefill of less urgent requests is not ahead of an urgent request",
    "[placement][urgency]") {
  upstream_board board = Balancer(1);
  upstream_report report;
  report.key = UpstreamKey("u0");
  report.load.unread_tokens[8] = 92000;
  board.SetPeer({"peer"}, {report}, kStart);
  placement_request urgent = Request("s");
  placement_request less_urgent = Request("s");
  less_urgent.urgency = 9;
  CHECK(board.Choose(urgent, kStart)->unread_tokens == 0);
  CHECK(board.Choose(less_urgent, kStart)->unread_tokens == 92000);
}

TEST_CASE(
    "A large prompt goes to the upstream where it stalls the fewest streams",
    "[placement][pause]") {
  upstream_board board = Balancer(2);
  upstream_report report;
  report.load.running = 2;
  report.key = UpstreamKey("u0");
  board.SetPeer({"peer"}, {report}, kStart);
  placement_request large = Request("s", 0, 50000);
  std::map<std::string, int> uses;
  for (int i = 0; i < 20; ++i) {
    large.shape.parts = {{"s" + std::to_string(i), 0}, {"own", 50000}};
    large.draw = i / 20.0;
    ++uses[ChosenId(board, large)];
  }
  CHECK(uses["u1"] == 20);
}

TEST_CASE("A request avoids an upstream that is prefilling less urgent prompts",
          "[placement][pause]") {
  upstream_board board = Balancer(2);
  upstream_report report;
  report.load.unread_tokens[kUrgencies - 1] = 50000;
  report.key = UpstreamKey("u0");
  board.SetPeer({"peer"}, {report}, kStart);
  for (int i = 0; i < 20; ++i) {
    CHECK(ChosenId(board, Request("s" + std::to_string(i), 100, 500)) == "u1");
  }
}

TEST_CASE("An upstream whose KV cache is fully planned is not chosen",
          "[placement][memory]") {
  upstream_board board = Balancer(2);
  const placement_request request = Request("s");
  const std::string preferred = ChosenId(board, request);
  request_work large;
  large.kv_cache_tokens = kCacheTokens;
  board.NoteSent(preferred, large, {}, kStart);
  CHECK(ChosenId(board, request) != preferred);
}

TEST_CASE(
    "An unreachable upstream is avoided after one failure and used again "
    "later",
    "[placement][crash]") {
  upstream_board board = Balancer(2);
  const placement_request request = Request("s");
  const std::optional<placement> placed = board.Choose(request, kStart);
  const std::string preferred = placed->upstream.id;
  board.NoteSent(preferred, placed->work, request.shape, kStart);
  board.NoteEnded(preferred, placed->work, false,
                  upstream_outcome::kUnreachable, kStart);
  CHECK(ChosenId(board, request) != preferred);
  CHECK(ChosenId(board, request, kStart + milliseconds(60000)) == preferred);
}

TEST_CASE("An upstream that fails part of its requests is avoided",
          "[placement][grey]") {
  upstream_board board = Balancer(2);
  const placement_request request = Request("s");
  const std::string preferred = ChosenId(board, request);
  for (int i = 0; i < 10; ++i) {
    board.NoteSent(preferred, {}, {}, kStart);
    board.NoteEnded(
        preferred, {}, true,
        i % 2 == 0 ? upstream_outcome::kBad : upstream_outcome::kGood, kStart);
  }
  CHECK(ChosenId(board, request) != preferred);
}

TEST_CASE(
    "A failure rate common to a service's upstreams excludes none of them",
    "[placement][error_share]") {
  upstream_board board = Balancer(4);
  for (const std::string id : {"u0", "u1", "u2", "u3"}) {
    for (int i = 0; i < 20; ++i) {
      board.NoteSent(id, {}, {}, kStart);
      const bool bad = i % 7 == 0 && id != "u3";
      board.NoteEnded(id, {}, true,
                      bad ? upstream_outcome::kBad : upstream_outcome::kGood,
                      kStart);
    }
  }
  std::map<std::string, int> uses;
  for (int i = 0; i < 100; ++i) {
    ++uses[ChosenId(board, Request("session-" + std::to_string(i)))];
  }
  CHECK(uses.size() == 4);
}

TEST_CASE("Nodes with the same outdated reports do not all choose one upstream",
          "[placement][herd]") {
  upstream_board board = Balancer(100);
  upstream_report report;
  report.load.running = 10;
  std::vector<upstream_report> reports;
  for (int i = 1; i < 100; ++i) {
    report.key = UpstreamKey("u" + std::to_string(i));
    reports.push_back(report);
  }
  board.SetPeer({"peer"}, reports, kStart);
  int sent_to_idle = 0;
  constexpr int kNodes = 80;
  for (int node = 0; node < kNodes; ++node) {
    placement_request request = Request("s" + std::to_string(node), 0);
    request.draw = static_cast<double>(node) / kNodes;
    sent_to_idle += ChosenId(board, request) == "u0" ? 1 : 0;
  }
  CHECK(sent_to_idle < 40);
}

TEST_CASE(
    "On-demand upstreams are avoided while reclaimable ones are available",
    "[placement][price]") {
  upstream_board board{board_terms{}};
  upstream_entry cheap = Entry("cheap");
  cheap.reclaimable = true;
  board.Reset({Entry("dear"), cheap}, kStart);
  for (int i = 0; i < 20; ++i) {
    CHECK(ChosenId(board, Request("s" + std::to_string(i))) == "cheap");
  }
}

TEST_CASE("An engine that sends bytes to peers is not taken for silent",
          "[placement][overload][regression]") {
  upstream_board board = Balancer(1);
  Send(board, Request("s"));
  const time_point later = kStart + milliseconds(1500);
  CHECK(board.SilenceToAll("u0", later) == milliseconds(1500));
  upstream_report report;
  report.key = UpstreamKey("u0");
  SECTION("a report of a peer without bytes from it changes nothing") {
    board.SetPeer({"peer"}, {report}, later);
    CHECK(board.SilenceToAll("u0", later) == milliseconds(1500));
  }
  SECTION("a report of a peer with recent bytes from it counts") {
    report.time_since_byte = milliseconds(100);
    board.SetPeer({"peer"}, {report}, later);
    CHECK(board.SilenceToAll("u0", later) == milliseconds(100));
    CHECK(board.Silence("u0", later) == milliseconds(1500));
  }
}

TEST_CASE("When all upstreams are avoided one of them is still used",
          "[placement][crash]") {
  upstream_board board = Balancer(2);
  for (const std::string id : {"u0", "u1"}) {
    board.NoteSent(id, {}, {}, kStart);
    board.NoteEnded(id, {}, false, upstream_outcome::kUnreachable, kStart);
  }
  CHECK_FALSE(ChosenId(board, Request("s")).empty());
}

TEST_CASE("A draining upstream takes no further requests",
          "[placement][drain]") {
  upstream_board board = Balancer(1);
  upstream_entry draining = Entry("u0");
  draining.leaving = true;
  board.Put(draining, kStart);
  CHECK(ChosenId(board, Request("s")).empty());
  CHECK(board.Usable("pool") == 0);
}

TEST_CASE("An entry removed during a store outage is kept for a grace period",
          "[placement][lapse]") {
  upstream_board board = Balancer(2);
  board.NoteStoreContact(false, kStart);
  const time_point back = kStart + milliseconds(5000);
  board.NoteStoreContact(true, back);
  board.Reset({Entry("u0")}, back);
  SECTION("it is used during the grace period") {
    CHECK(board.Usable("pool") == 2);
  }
  SECTION("it stays if it is registered again") {
    board.Put(Entry("u1"), back + milliseconds(900));
    board.DropLapsed(back + milliseconds(9000));
    CHECK(board.Usable("pool") == 2);
  }
  SECTION("it is dropped otherwise") {
    CHECK(board.DropLapsed(back + milliseconds(1499)).empty());
    CHECK(board.DropLapsed(back + milliseconds(1500)) ==
          std::vector<std::string>{"u1"});
    CHECK(board.Usable("pool") == 1);
  }
}

TEST_CASE("An entry removed while the store is reachable is dropped at once",
          "[placement][drain]") {
  upstream_board board = Balancer(2);
  board.Remove("u1", kStart + milliseconds(10000));
  CHECK(board.Usable("pool") == 1);
}

TEST_CASE("A new process with a known id starts without the old one's outcomes",
          "[placement][reborn]") {
  upstream_board board = Balancer(1);
  board.NoteSent("u0", {}, Request("s").shape, kStart);
  board.NoteEnded("u0", {}, false, upstream_outcome::kUnreachable, kStart);
  upstream_entry restarted = Entry("u0");
  restarted.incarnation = 2;
  board.Put(restarted, kStart);
  CHECK(board.OwnViews(kStart).empty());
}

TEST_CASE(
    "Requests to plain services prefer the own zone and less busy upstreams",
    "[placement][plain]") {
  upstream_board board{board_terms{}};
  board.Reset({Entry("near", "a"), Entry("far", "b")}, kStart);
  placement_request request;
  request.service = "pool";
  request.availability_zone = "a";
  CHECK(ChosenId(board, request) == "near");
  for (int i = 0; i < 16; ++i) {
    board.NoteSent("near", {}, {}, kStart);
  }
  CHECK(ChosenId(board, request) == "far");
}

}  // namespace skylarkcroft
