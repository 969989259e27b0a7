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

upstream_board Board(int count) {
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

placement_request Ask(const std::string& session, int64_t shared = 5000,
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

std::string Chosen(const upstream_board& board,
                   const placement_request& request, time_point now = kStart) {
  const std::optional<placement> placed = board.Choose(request, now);
  return placed.has_value() ? placed->upstream.id : "";
}

void Send(upstream_board& board, const placement_request& request) {
  const std::optional<placement> placed = board.Choose(request, kStart);
  REQUIRE(placed.has_value());
  board.NoteSent(placed->upstream.id, placed->work, request.shape, kStart);
}

}  // namespace

TEST_CASE("All nodes send a session to the same upstream without a word",
          "[placement][affinity]") {
  const upstream_board one = Board(8);
  const upstream_board other = Board(8);
  for (int i = 0; i < 50; ++i) {
    const placement_request request = Ask("session-" + std::to_string(i));
    CHECK(Chosen(one, request) == Chosen(other, request));
  }
}

TEST_CASE("Sessions spread over all upstreams", "[placement][affinity]") {
  const upstream_board board = Board(8);
  std::map<std::string, int> uses;
  for (int i = 0; i < 400; ++i) {
    ++uses[Chosen(board, Ask("session-" + std::to_string(i)))];
  }
  CHECK(uses.size() == 8);
  for (const auto& [id, count] : uses) {
    CHECK(count > 20);
  }
}

TEST_CASE("One hot session spills over once its upstream is busy",
          "[placement][hot_key]") {
  upstream_board board = Board(8);
  std::map<std::string, int> uses;
  for (int i = 0; i < 200; ++i) {
    const placement_request request = Ask("hot");
    ++uses[Chosen(board, request)];
    Send(board, request);
  }
  CHECK(uses.size() == 8);
  for (const auto& [id, count] : uses) {
    CHECK(count < 60);
  }
}

TEST_CASE("What peers sent counts like what this node sent",
          "[placement][peers]") {
  upstream_board board = Board(2);
  const placement_request request = Ask("s");
  const std::string home = Chosen(board, request);
  peer_upstream_view view;
  view.upstream = UpstreamKey(home);
  view.load.running = 40;
  view.load.unread_tokens[0] = 60000;
  board.SetPeer({"peer"}, {view}, kStart);
  CHECK(Chosen(board, request) != home);
  SECTION("until the peer has been silent for long") {
    CHECK(Chosen(board, request, kStart + milliseconds(1501)) == home);
  }
}

TEST_CASE("Work of lower urgency does not count as ahead of urgent work",
          "[placement][urgency]") {
  upstream_board board = Board(1);
  peer_upstream_view view;
  view.upstream = UpstreamKey("u0");
  view.load.unread_tokens[8] = 92000;
  board.SetPeer({"peer"}, {view}, kStart);
  placement_request urgent = Ask("s");
  placement_request late = Ask("s");
  late.urgency = 9;
  CHECK(board.Choose(urgent, kStart)->unread_tokens == 0);
  CHECK(board.Choose(late, kStart)->unread_tokens == 92000);
}

TEST_CASE("A large prompt goes where it makes few streams pause",
          "[placement][pause]") {
  upstream_board board = Board(2);
  peer_upstream_view view;
  view.load.running = 2;
  view.upstream = UpstreamKey("u0");
  board.SetPeer({"peer"}, {view}, kStart);
  placement_request large = Ask("s", 0, 50000);
  std::map<std::string, int> uses;
  for (int i = 0; i < 20; ++i) {
    large.shape.parts = {{"s" + std::to_string(i), 0}, {"own", 50000}};
    large.draw = i / 20.0;
    ++uses[Chosen(board, large)];
  }
  CHECK(uses["u1"] == 20);
}

TEST_CASE("A stream stays away from less urgent prompts that are being read",
          "[placement][pause]") {
  upstream_board board = Board(2);
  peer_upstream_view view;
  view.load.unread_tokens[kUrgencies - 1] = 50000;
  view.upstream = UpstreamKey("u0");
  board.SetPeer({"peer"}, {view}, kStart);
  for (int i = 0; i < 20; ++i) {
    CHECK(Chosen(board, Ask("s" + std::to_string(i), 100, 500)) == "u1");
  }
}

TEST_CASE("An upstream whose memory is planned for is passed over",
          "[placement][memory]") {
  upstream_board board = Board(2);
  const placement_request request = Ask("s");
  const std::string home = Chosen(board, request);
  work_size large;
  large.memory_tokens = kCacheTokens;
  board.NoteSent(home, large, {}, kStart);
  CHECK(Chosen(board, request) != home);
}

TEST_CASE(
    "An upstream without connections is left out at once and tried "
    "again later",
    "[placement][crash]") {
  upstream_board board = Board(2);
  const placement_request request = Ask("s");
  const std::optional<placement> placed = board.Choose(request, kStart);
  const std::string home = placed->upstream.id;
  board.NoteSent(home, placed->work, request.shape, kStart);
  board.NoteEnded(home, placed->work, false, upstream_outcome::kUnreachable,
                  kStart);
  CHECK(Chosen(board, request) != home);
  CHECK(Chosen(board, request, kStart + milliseconds(60000)) == home);
}

TEST_CASE("Requests that an upstream fails in part go elsewhere",
          "[placement][grey]") {
  upstream_board board = Board(2);
  const placement_request request = Ask("s");
  const std::string home = Chosen(board, request);
  for (int i = 0; i < 10; ++i) {
    board.NoteSent(home, {}, {}, kStart);
    board.NoteEnded(
        home, {}, true,
        i % 2 == 0 ? upstream_outcome::kBad : upstream_outcome::kGood, kStart);
  }
  CHECK(Chosen(board, request) != home);
}

TEST_CASE("Failures that all upstreams of a service share turn nobody away",
          "[placement][error_share]") {
  upstream_board board = Board(4);
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
    ++uses[Chosen(board, Ask("session-" + std::to_string(i)))];
  }
  CHECK(uses.size() == 4);
}

TEST_CASE("Nodes with the same old figures do not all send to one upstream",
          "[placement][herd]") {
  upstream_board board = Board(100);
  peer_upstream_view view;
  view.load.running = 10;
  std::vector<peer_upstream_view> views;
  for (int i = 1; i < 100; ++i) {
    view.upstream = UpstreamKey("u" + std::to_string(i));
    views.push_back(view);
  }
  board.SetPeer({"peer"}, views, kStart);
  int to_idle = 0;
  constexpr int kNodes = 80;
  for (int node = 0; node < kNodes; ++node) {
    placement_request request = Ask("s" + std::to_string(node), 0);
    request.draw = static_cast<double>(node) / kNodes;
    to_idle += Chosen(board, request) == "u0" ? 1 : 0;
  }
  CHECK(to_idle < 40);
}

TEST_CASE("Upstreams at the full price are spared while others are ready",
          "[placement][price]") {
  upstream_board board{board_terms{}};
  upstream_entry cheap = Entry("cheap");
  cheap.reclaimable = true;
  board.Reset({Entry("dear"), cheap}, kStart);
  for (int i = 0; i < 20; ++i) {
    CHECK(Chosen(board, Ask("s" + std::to_string(i))) == "cheap");
  }
}

TEST_CASE("An engine that sends bytes to peers is busy, not silent",
          "[placement][overload][regression]") {
  upstream_board board = Board(1);
  Send(board, Ask("s"));
  const time_point later = kStart + milliseconds(1500);
  CHECK(board.SilenceToAll("u0", later) == milliseconds(1500));
  peer_upstream_view view;
  view.upstream = UpstreamKey("u0");
  SECTION("a peer that never heard of it says nothing") {
    board.SetPeer({"peer"}, {view}, later);
    CHECK(board.SilenceToAll("u0", later) == milliseconds(1500));
  }
  SECTION("a peer that hears it does") {
    view.quiet = milliseconds(100);
    board.SetPeer({"peer"}, {view}, later);
    CHECK(board.SilenceToAll("u0", later) == milliseconds(100));
    CHECK(board.Silence("u0", later) == milliseconds(1500));
  }
}

TEST_CASE("When every upstream is avoided one is used all the same",
          "[placement][crash]") {
  upstream_board board = Board(2);
  for (const std::string id : {"u0", "u1"}) {
    board.NoteSent(id, {}, {}, kStart);
    board.NoteEnded(id, {}, false, upstream_outcome::kUnreachable, kStart);
  }
  CHECK_FALSE(Chosen(board, Ask("s")).empty());
}

TEST_CASE("An upstream that leaves takes no further requests",
          "[placement][drain]") {
  upstream_board board = Board(1);
  upstream_entry leaving = Entry("u0");
  leaving.leaving = true;
  board.Put(leaving, kStart);
  CHECK(Chosen(board, Ask("s")).empty());
  CHECK(board.Usable("pool") == 0);
}

TEST_CASE("An entry that lapsed while the store was away may come back",
          "[placement][lapse]") {
  upstream_board board = Board(2);
  board.NoteStoreContact(false, kStart);
  const time_point back = kStart + milliseconds(5000);
  board.NoteStoreContact(true, back);
  board.Reset({Entry("u0")}, back);
  SECTION("it is used meanwhile") { CHECK(board.Usable("pool") == 2); }
  SECTION("it stays once it is back") {
    board.Put(Entry("u1"), back + milliseconds(900));
    board.DropLapsed(back + milliseconds(9000));
    CHECK(board.Usable("pool") == 2);
  }
  SECTION("it is gone otherwise") {
    CHECK(board.DropLapsed(back + milliseconds(1499)).empty());
    CHECK(board.DropLapsed(back + milliseconds(1500)) ==
          std::vector<std::string>{"u1"});
    CHECK(board.Usable("pool") == 1);
  }
}

TEST_CASE("An entry removed while the store answers is gone at once",
          "[placement][drain]") {
  upstream_board board = Board(2);
  board.Remove("u1", kStart + milliseconds(10000));
  CHECK(board.Usable("pool") == 1);
}

TEST_CASE("A new process under an old id starts without its history",
          "[placement][reborn]") {
  upstream_board board = Board(1);
  board.NoteSent("u0", {}, Ask("s").shape, kStart);
  board.NoteEnded("u0", {}, false, upstream_outcome::kUnreachable, kStart);
  upstream_entry reborn = Entry("u0");
  reborn.incarnation = 2;
  board.Put(reborn, kStart);
  CHECK(board.OwnViews(kStart).empty());
}

TEST_CASE("Plain requests prefer the own zone and the less busy upstream",
          "[placement][plain]") {
  upstream_board board{board_terms{}};
  board.Reset({Entry("near", "a"), Entry("far", "b")}, kStart);
  placement_request request;
  request.service = "pool";
  request.availability_zone = "a";
  CHECK(Chosen(board, request) == "near");
  for (int i = 0; i < 16; ++i) {
    board.NoteSent("near", {}, {}, kStart);
  }
  CHECK(Chosen(board, request) == "far");
}

}  // namespace skylarkcroft
