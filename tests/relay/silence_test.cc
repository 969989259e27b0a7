#include <algorithm>
#include <catch2/catch.hpp>
#include <list>
#include <optional>
#include <string>
#include <vector>

#include "tests/relay/relay_fixture.h"

namespace skylarkcroft {
namespace {

using received_request = scripted_upstream::received_request;
using fixture = relay_fixture;

// The limits of the tests are a quarter of those in use, to save time.
constexpr milliseconds kSilence{300};
constexpr milliseconds kSilenceToThisNode{750};
constexpr double kServiceSilenceShare = 0.1;
/// Pause of a sound upstream, beyond the limit of silence.
constexpr milliseconds kPause{600};
constexpr milliseconds kAfterAll{60000};
constexpr const char* kFinalChunk = "0\r\n\r\n";
constexpr const char* kDeclined =
    "HTTP/1.1 503 Full\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n";

/// The end of a whole stream as a client gets it.
std::string LastEvent() { return fixture::Event(3) + "\r\n" + kFinalChunk; }

/// The parts of an answer, each written after a pause except the first, which
/// is written at once.
using answer_parts = std::vector<std::string>;

/// Where a sound upstream pauses.
enum class pause_at { kHead, kFirstOutput, kWithin, kTwice };

answer_parts StreamParts(const received_request& request, pause_at at) {
  const std::string head = fixture::StreamHead(request);
  const std::string end = fixture::EventChunk(3) + kFinalChunk;
  switch (at) {
    case pause_at::kHead:
      return {"", head + fixture::EventChunk(1) + fixture::EventChunk(2) + end};
    case pause_at::kFirstOutput:
      return {head, fixture::EventChunk(1) + fixture::EventChunk(2) + end};
    case pause_at::kWithin:
      return {head + fixture::EventChunk(1), fixture::EventChunk(2) + end};
    case pause_at::kTwice:
      return {head + fixture::EventChunk(1), fixture::EventChunk(2), end};
  }
  return {};
}

answer_parts BodyParts(const received_request& request, pause_at at) {
  constexpr size_t kBodyBytes = 9;
  const std::string whole = fixture::Response(request, "from one.");
  const size_t head = whole.size() - kBodyBytes;
  switch (at) {
    case pause_at::kHead:
      return {"", whole};
    case pause_at::kFirstOutput:
      return {whole.substr(0, head), whole.substr(head)};
    case pause_at::kWithin:
      return {whole.substr(0, head + 4), whole.substr(head + 4)};
    case pause_at::kTwice:
      return {whole.substr(0, head + 2), whole.substr(head + 2, 3),
              whole.substr(head + 5)};
  }
  return {};
}

/// Writes answers with pauses between their parts.
class paused_writer {
 public:
  explicit paused_writer(event_loop& loop) : loop_(loop) {}

  void Write(const received_request& request, const answer_parts& parts) {
    request.write(parts.front());
    milliseconds delay{0};
    for (size_t i = 1; i < parts.size(); ++i) {
      delay += kPause;
      timers_.push_back(loop_.After(
          delay, [request, part = parts[i]] { request.write(part); }));
    }
  }

 private:
  event_loop& loop_;
  std::list<event_loop::handle_ptr> timers_;
};

/// A request of a test: its route, the kind of its answer and where that
/// pauses.
struct paused_request {
  std::string path;
  bool is_stream = false;
  pause_at at = pause_at::kHead;
};

/// Each kind of request with each kind of pause.
std::vector<paused_request> AllPausedRequests() {
  std::vector<paused_request> all;
  for (const pause_at at : {pause_at::kHead, pause_at::kFirstOutput,
                            pause_at::kWithin, pause_at::kTwice}) {
    all.push_back({"/safe/", false, at});
    all.push_back({"/safe/", true, at});
    all.push_back({"/once/", false, at});
    all.push_back({"/once/", true, at});
    all.push_back({"/stream/", true, at});
    all.push_back({"/resume/", true, at});
  }
  return all;
}

/// Those that may be sent to a further upstream after their first part.
std::vector<paused_request> RepeatablePausedRequests() {
  return {{"/safe/", false, pause_at::kHead},
          {"/safe/", false, pause_at::kWithin},
          {"/safe/", true, pause_at::kHead},
          {"/resume/", true, pause_at::kHead},
          {"/resume/", true, pause_at::kWithin}};
}

/// A relay with short limits of silence whose first request goes to the first
/// upstream.
class silent_upstreams {
 public:
  explicit silent_upstreams(bool has_model) {
    relay.environment.parameters.engine_silence = kSilence;
    relay.environment.parameters.engine_silence_to_this_node =
        kSilenceToThisNode;
    relay.environment.parameters.service_silence_share = kServiceSilenceShare;
    if (has_model) {
      relay.map.pools.front().engine = engine_capacity{8, 100000};
    }
    relay.balancer.Reset({fixture::Entry("one", relay.first_upstream)},
                         SteadyNow());
    relay.balancer.DropRemoved(SteadyNow() + kAfterAll);
  }

  void ListBoth(bool second_drains = false) {
    upstream_entry second = fixture::Entry("two", relay.second_upstream);
    second.is_draining = second_drains;
    relay.balancer.Reset({fixture::Entry("one", relay.first_upstream), second},
                         SteadyNow());
  }
  void UseUpBudget() {
    service_retry_budget_parameters none;
    none.share = 0;
    none.reserve = 0;
    relay.retries.SetParameters(none);
  }

  /// Sends `kinds` to the first upstream, which pauses as each says; returns
  /// the clients once all requests have arrived.
  std::list<raw_client> Send(const std::vector<paused_request>& kinds) {
    relay.first_upstream.SetHandler(
        [this, kinds](const received_request& request) {
          const paused_request& kind =
              kinds.at(std::stoul(request.head.headers.Get("X-Id")));
          writer.Write(request, kind.is_stream ? StreamParts(request, kind.at)
                                               : BodyParts(request, kind.at));
        });
    std::list<raw_client> clients;
    for (size_t i = 0; i < kinds.size(); ++i) {
      clients.emplace_back(relay.loop, relay.server.address());
      clients.back().Send(fixture::Request(kinds[i].path, std::to_string(i)));
    }
    REQUIRE(relay.Await(
        [&] { return relay.first_upstream.requests.size() == kinds.size(); }));
    return clients;
  }
  /// Checks that each client gets the answer of the first upstream, whole.
  void CheckAllWhole(const std::vector<paused_request>& kinds,
                     const std::list<raw_client>& clients) {
    REQUIRE(relay.Await([&] { return relay.records.size() == kinds.size(); }));
    relay.loop.RunFor(milliseconds(50));
    size_t i = 0;
    for (const raw_client& client : clients) {
      const paused_request& kind = kinds.at(i++);
      INFO(kind.path << (kind.is_stream ? " stream" : " body") << ", pause "
                     << static_cast<int>(kind.at) << ": " << client.received);
      CHECK(client.received.starts_with("HTTP/1.1 200"));
      CHECK(client.received.ends_with(kind.is_stream ? LastEvent()
                                                     : "from one."));
    }
  }

  fixture relay;
  paused_writer writer{relay.loop};
};

/// Why no other upstream may take over from a silent one.
enum class obstacle {
  kBudgetUsedUp,
  kNoOther,
  kOtherLeaves,
  kOtherRefuses,
};

void Apply(obstacle why, silent_upstreams& on) {
  switch (why) {
    case obstacle::kBudgetUsedUp:
      on.UseUpBudget();
      on.ListBoth();
      return;
    case obstacle::kNoOther:
      return;
    case obstacle::kOtherLeaves:
      on.ListBoth(true);
      return;
    case obstacle::kOtherRefuses:
      on.relay.second_upstream.StopListening();
      on.ListBoth();
      return;
  }
}

}  // namespace

TEST_CASE("The record of a request tells what followed a silence",
          "[relay][silence][log]") {
  silent_upstreams on(true);
  fixture& relay = on.relay;
  const bool budget_used_up = GENERATE(false, true);
  relay.second_upstream.SetHandler([](const received_request& request) {
    request.write(fixture::Response(request, "two"));
  });
  if (budget_used_up) {
    on.UseUpBudget();
  }
  raw_client client(relay.loop, relay.server.address());
  client.Send(fixture::Request("/safe/", "r1"));
  REQUIRE(relay.Await([&] { return !relay.first_upstream.requests.empty(); }));
  on.ListBoth();
  REQUIRE(relay.Await([&] { return !relay.records.empty(); }));
  CHECK(relay.records.back().silence ==
        (budget_used_up ? "repeats_used_up" : "replaced"));
  const log_entry line = ToLogEntry(relay.records.back());
  CHECK(std::find(line.fields.begin(), line.fields.end(),
                  decltype(line.fields)::value_type{
                      "silence", relay.records.back().silence}) !=
        line.fields.end());
}

// Guards against requests that end because a sound upstream pauses while no
// other may take over.
TEST_CASE("A pause of an upstream without a successor ends no request",
          "[relay][silence][regression]") {
  silent_upstreams on(GENERATE(true, false));
  const obstacle why =
      GENERATE(obstacle::kBudgetUsedUp, obstacle::kNoOther,
               obstacle::kOtherLeaves, obstacle::kOtherRefuses);
  INFO("obstacle " << static_cast<int>(why));
  const std::vector<paused_request> kinds = AllPausedRequests();
  const std::list<raw_client> clients = on.Send(kinds);
  Apply(why, on);
  on.CheckAllWhole(kinds, clients);
  CHECK(on.relay.second_upstream.requests.empty());
  CHECK(on.relay.failed_attempts.empty());
}

// Guards against streams that are given up although no other attempt could
// continue them.
TEST_CASE("A pause ends no request that may not be sent again",
          "[relay][silence][regression]") {
  silent_upstreams on(GENERATE(true, false));
  on.ListBoth();
  const std::vector<paused_request> kinds = {
      {"/once/", false, pause_at::kHead},  {"/once/", true, pause_at::kTwice},
      {"/stream/", true, pause_at::kHead}, {"/stream/", true, pause_at::kTwice},
      {"/safe/", true, pause_at::kWithin}, {"/safe/", true, pause_at::kTwice}};
  on.relay.balancer.Reset({fixture::Entry("one", on.relay.first_upstream)},
                          SteadyNow());
  on.relay.balancer.DropRemoved(SteadyNow() + kAfterAll);
  const std::list<raw_client> clients = on.Send(kinds);
  on.ListBoth();
  on.CheckAllWhole(kinds, clients);
  CHECK(on.relay.second_upstream.requests.empty());
}

// Guards against attempts beyond the retry budget while upstreams pause.
TEST_CASE("A pause of upstreams keeps to the retry budget",
          "[relay][silence][regression]") {
  constexpr size_t kUpstreams = 20;
  constexpr size_t kRequests = 60;
  constexpr size_t kBudget = 5;
  silent_upstreams on(GENERATE(true, false));
  fixture& relay = on.relay;
  const bool all_pause = GENERATE(true, false);
  service_retry_budget_parameters budget;
  budget.share = 0;
  budget.reserve = kBudget;
  budget.used_fraction = 1;
  relay.retries.SetParameters(budget);
  std::list<scripted_upstream> upstreams;
  std::vector<upstream_entry> entries;
  size_t arrived = 0;
  for (size_t i = 0; i < kUpstreams; ++i) {
    scripted_upstream& one = upstreams.emplace_back(relay.loop);
    const bool pauses = all_pause || i == 0;
    one.SetHandler([&, pauses](const received_request& request) {
      ++arrived;
      const answer_parts parts = StreamParts(request, pause_at::kWithin);
      if (pauses) {
        on.writer.Write(request, parts);
        return;
      }
      request.write(parts.front() + parts.back());
    });
    entries.push_back(fixture::Entry("u" + std::to_string(i), one));
  }
  relay.balancer.Reset(entries, SteadyNow());
  relay.balancer.DropRemoved(SteadyNow() + kAfterAll);
  std::list<raw_client> clients;
  for (size_t i = 0; i < kRequests; ++i) {
    clients.emplace_back(relay.loop, relay.server.address());
    clients.back().Send(fixture::Request("/resume/", std::to_string(i)));
  }
  REQUIRE(relay.Await([&] { return relay.records.size() == kRequests; }));
  relay.loop.RunFor(milliseconds(50));
  for (const raw_client& client : clients) {
    INFO(client.received);
    CHECK(client.received.ends_with(LastEvent()));
  }
  CHECK(arrived <= kRequests + kBudget);
}

// Guards against attempts that are given up for a silence although their prompt
// may not be sent again.
TEST_CASE("A pause ends no request whose prompt has crashed upstreams",
          "[relay][silence][quarantine][regression]") {
  constexpr milliseconds kLongPause{1300};
  silent_upstreams on(true);
  fixture& relay = on.relay;
  relay.environment.parameters.engine_silence = milliseconds(600);
  relay.map.routes.back().max_attempts = 5;
  const std::string prompt =
      "X-Tokens: 10,5\r\nX-Parts: common:5,bad:2,a:1\r\n";
  event_loop::handle_ptr timer;
  relay.SetHandler([&](const received_request& request) {
    // An attempt without output would be recalled with the quarantine.
    request.write(fixture::StreamHead(request) + fixture::EventChunk(2));
    if (request.head.headers.Get("X-Id") == "crash") {
      request.close();
      return;
    }
    timer = relay.loop.After(kLongPause, [request] {
      request.write(fixture::EventChunk(3) + kFinalChunk);
    });
  });
  raw_client client(relay.loop, relay.server.address());
  client.Send(fixture::Request("/resume/", "paused", prompt));
  REQUIRE(relay.Await([&] { return !relay.first_upstream.requests.empty(); }));
  on.ListBoth();
  raw_client crashing(relay.loop, relay.server.address());
  crashing.Send(fixture::Request("/resume/", "crash", prompt));
  REQUIRE(relay.Await([&] { return relay.records.size() == 1; }));
  REQUIRE(relay.records.front().reason == "request_crashed");
  REQUIRE(relay.Await([&] { return relay.records.size() == 2; }));
  relay.loop.RunFor(milliseconds(50));
  CHECK(client.received.ends_with(LastEvent()));
  CHECK(relay.records.back().silence == "request_crashed");
}

// Guards against two upstreams that both go on with one request.
TEST_CASE("The answer of a successor ends the silent attempt at once",
          "[relay][silence]") {
  constexpr milliseconds kTimeToEnd{100};
  silent_upstreams on(true);
  fixture& relay = on.relay;
  const std::vector<paused_request> kinds = {
      {"/resume/", true, pause_at::kWithin}};
  relay.environment.parameters.silence_recheck = milliseconds(20);
  std::optional<bool> closed_before_output;
  std::optional<bool> closed_after_output;
  std::list<event_loop::handle_ptr> timers;
  relay.second_upstream.SetHandler([&](const received_request& request) {
    CHECK(request.head.headers.Get("Last-Event-Id") == "1");
    const std::shared_ptr<bool> closed =
        relay.first_upstream.requests.front().closed;
    timers.push_back(relay.loop.After(milliseconds(50), [&, closed, request] {
      closed_before_output = *closed;
      request.write(fixture::StreamHead(request));
    }));
    timers.push_back(
        relay.loop.After(milliseconds(50) + kTimeToEnd, [&, closed, request] {
          closed_after_output = *closed;
          request.write(fixture::EventChunk(2) + fixture::EventChunk(3) +
                        kFinalChunk);
        }));
  });
  const std::list<raw_client> clients = on.Send(kinds);
  on.ListBoth();
  on.CheckAllWhole(kinds, clients);
  CHECK(closed_before_output == false);
  CHECK(closed_after_output == true);
  CHECK(relay.second_upstream.requests.size() == 1);
  CHECK(relay.failed_attempts.size() == 1);
  CHECK(relay.records.back().silence == "replaced");
}

// Guards against requests that end because the successor of a silent attempt
// accepts its connection and then fails.
TEST_CASE("A successor that fails leaves the silent attempt at work",
          "[relay][silence][regression]") {
  silent_upstreams on(GENERATE(true, false));
  fixture& relay = on.relay;
  const bool declines = GENERATE(true, false);
  const std::vector<paused_request> kinds = RepeatablePausedRequests();
  relay.second_upstream.SetHandler([&](const received_request& request) {
    if (declines) {
      request.write(kDeclined);
    } else {
      request.close();
    }
  });
  const std::list<raw_client> clients = on.Send(kinds);
  on.ListBoth();
  on.CheckAllWhole(kinds, clients);
  CHECK(relay.second_upstream.requests.size() == kinds.size());
  for (const request_record& record : relay.records) {
    CHECK(record.silence == "may_not_repeat");
    CHECK(record.upstreams_used == 1);
  }
}

// Guards against requests that end because the successor of a silent attempt
// pauses for longer than the attempt itself.
TEST_CASE("An attempt that goes on before its successor keeps its request",
          "[relay][silence][regression]") {
  silent_upstreams on(GENERATE(true, false));
  fixture& relay = on.relay;
  const std::vector<paused_request> kinds = RepeatablePausedRequests();
  const std::list<raw_client> clients = on.Send(kinds);
  on.ListBoth();
  on.CheckAllWhole(kinds, clients);
  REQUIRE(relay.second_upstream.requests.size() == kinds.size());
  for (const received_request& request : relay.second_upstream.requests) {
    CHECK(*request.closed);
  }
  for (const request_record& record : relay.records) {
    CHECK(record.silence == "resumed");
  }
}

// Guards against requests whose attempt breaks while its successor is at work.
TEST_CASE("A successor goes on when the silent attempt breaks",
          "[relay][silence]") {
  silent_upstreams on(GENERATE(true, false));
  fixture& relay = on.relay;
  const std::vector<paused_request> kinds = {
      {"/safe/", false, pause_at::kHead}, {"/resume/", true, pause_at::kHead}};
  std::list<event_loop::handle_ptr> timers;
  relay.second_upstream.SetHandler([&](const received_request& request) {
    for (const received_request& silent : relay.first_upstream.requests) {
      silent.reset();
    }
    const size_t kind = std::stoul(request.head.headers.Get("X-Id"));
    timers.push_back(relay.loop.After(milliseconds(50), [request, kind] {
      request.write(kind == 0
                        ? fixture::Response(request, "from one.")
                        : fixture::StreamHead(request) +
                              fixture::EventChunk(1) + fixture::EventChunk(2) +
                              fixture::EventChunk(3) + kFinalChunk);
    }));
  });
  const std::list<raw_client> clients = on.Send(kinds);
  on.ListBoth();
  on.CheckAllWhole(kinds, clients);
  CHECK(relay.second_upstream.requests.size() == kinds.size());
}

// Guards against requests that are sent to a silent upstream while a successor
// of its attempt is at work.
TEST_CASE("A silent upstream is avoided once a successor is sent",
          "[relay][silence][regression]") {
  silent_upstreams on(false);
  fixture& relay = on.relay;
  relay.first_upstream.SetHandler([](const received_request&) {});
  std::list<raw_client> clients;
  clients.emplace_back(relay.loop, relay.server.address());
  clients.back().Send(fixture::Request("/safe/", "r1"));
  REQUIRE(relay.Await([&] { return !relay.first_upstream.requests.empty(); }));
  on.ListBoth();
  REQUIRE(relay.Await([&] { return !relay.second_upstream.requests.empty(); }));
  constexpr size_t kFurther = 6;
  for (size_t i = 0; i < kFurther; ++i) {
    clients.emplace_back(relay.loop, relay.server.address());
    clients.back().Send(fixture::Request("/once/", "f" + std::to_string(i)));
  }
  REQUIRE(relay.Await([&] { return relay.RequestCount() == 2 + kFurther; }));
  CHECK(relay.first_upstream.requests.size() == 1);
}

// Guards against work for a client that has left while two upstreams have its
// request.
TEST_CASE("A client that leaves ends the silent attempt and its successor",
          "[relay][silence][gone]") {
  silent_upstreams on(true);
  fixture& relay = on.relay;
  relay.first_upstream.SetHandler([](const received_request&) {});
  raw_client client(relay.loop, relay.server.address());
  client.Send(fixture::Request("/resume/", "r1"));
  REQUIRE(relay.Await([&] { return !relay.first_upstream.requests.empty(); }));
  on.ListBoth();
  REQUIRE(relay.Await([&] { return !relay.second_upstream.requests.empty(); }));
  client.Disconnect();
  CHECK(relay.Await([&] {
    return *relay.first_upstream.requests.front().closed &&
           *relay.second_upstream.requests.front().closed;
  }));
  CHECK(relay.records.back().reason == "client_left");
}

// Guards against streams whose attempt is given up for a further upstream that
// only accepts its connection, while the successor is silent as well.
TEST_CASE("A stream that has begun outlasts two further silent upstreams",
          "[relay][silence][regression]") {
  silent_upstreams on(true);
  fixture& relay = on.relay;
  relay.map.routes.back().max_attempts = 3;
  relay.environment.parameters.silence_recheck = milliseconds(20);
  scripted_upstream third(relay.loop);
  third.SetHandler(
      [](const received_request& request) { request.write(kDeclined); });
  std::list<event_loop::handle_ptr> timers;
  relay.first_upstream.SetHandler([&](const received_request& request) {
    request.write(fixture::StreamHead(request) + fixture::EventChunk(1));
    timers.push_back(relay.loop.After(3 * kPause, [request] {
      request.write(fixture::EventChunk(2) + fixture::EventChunk(3) +
                    kFinalChunk);
    }));
  });
  raw_client client(relay.loop, relay.server.address());
  client.Send(fixture::Request("/resume/", "0"));
  REQUIRE(relay.Await([&] { return !relay.first_upstream.requests.empty(); }));
  on.ListBoth();
  REQUIRE(relay.Await([&] { return !relay.second_upstream.requests.empty(); }));
  relay.balancer.Reset({fixture::Entry("one", relay.first_upstream),
                        fixture::Entry("two", relay.second_upstream),
                        fixture::Entry("three", third)},
                       SteadyNow());
  REQUIRE(relay.Await([&] { return !relay.records.empty(); }));
  relay.loop.RunFor(milliseconds(50));
  CHECK(third.requests.size() == 1);
  CHECK(client.received.ends_with(LastEvent()));
}

// Guards against the body of an error that loses its start when the attempt
// before it breaks meanwhile.
TEST_CASE("The error of a successor is whole when the silent attempt breaks",
          "[relay][silence][regression]") {
  silent_upstreams on(false);
  fixture& relay = on.relay;
  std::list<event_loop::handle_ptr> timers;
  relay.first_upstream.SetHandler([](const received_request&) {});
  relay.second_upstream.SetHandler([&](const received_request& request) {
    request.write(
        "HTTP/1.1 500 Error\r\nX-Id: r1\r\nX-Sig: s\r\n"
        "Content-Length: 8\r\n\r\nhalf");
    timers.push_back(relay.loop.After(milliseconds(30), [&] {
      relay.first_upstream.requests.front().reset();
    }));
    timers.push_back(relay.loop.After(milliseconds(60),
                                      [request] { request.write("rest"); }));
  });
  raw_client client(relay.loop, relay.server.address());
  client.Send(fixture::Request("/safe/", "r1"));
  REQUIRE(relay.Await([&] { return !relay.first_upstream.requests.empty(); }));
  on.ListBoth();
  REQUIRE(relay.Await([&] { return !relay.records.empty(); }));
  relay.loop.RunFor(milliseconds(50));
  CHECK(client.received.starts_with("HTTP/1.1 500"));
  CHECK(client.received.ends_with("halfrest"));
}

// Guards against attempts beyond those of the route while two are at work.
TEST_CASE("A silent attempt and its successor count as two attempts",
          "[relay][silence]") {
  silent_upstreams on(GENERATE(true, false));
  fixture& relay = on.relay;
  scripted_upstream third(relay.loop);
  const std::vector<paused_request> kinds = RepeatablePausedRequests();
  const std::list<raw_client> clients = on.Send(kinds);
  relay.balancer.Reset({fixture::Entry("one", relay.first_upstream),
                        fixture::Entry("two", relay.second_upstream),
                        fixture::Entry("three", third)},
                       SteadyNow());
  on.CheckAllWhole(kinds, clients);
  CHECK(relay.second_upstream.requests.size() + third.requests.size() ==
        kinds.size());
}

// Guards against attempts that are given up at the limits in use.
TEST_CASE("A pause of two seconds ends no request at the limits in use",
          "[relay][silence][regression]") {
  constexpr milliseconds kTwoSeconds{2000};
  fixture relay;
  const bool has_model = GENERATE(true, false);
  if (has_model) {
    relay.map.pools.front().engine = engine_capacity{8, 100000};
  }
  service_retry_budget_parameters none;
  none.share = 0;
  none.reserve = 0;
  relay.retries.SetParameters(none);
  std::list<event_loop::handle_ptr> timers;
  relay.SetHandler([&](const received_request& request) {
    const answer_parts parts = StreamParts(request, pause_at::kWithin);
    request.write(parts.front());
    timers.push_back(relay.loop.After(
        kTwoSeconds, [request, rest = parts.back()] { request.write(rest); }));
  });
  raw_client client(relay.loop, relay.server.address());
  client.Send(fixture::Request("/resume/", "r1"));
  REQUIRE(relay.Await([&] { return !relay.records.empty(); }));
  relay.loop.RunFor(milliseconds(50));
  CHECK(client.received.ends_with(LastEvent()));
}

}  // namespace skylarkcroft
