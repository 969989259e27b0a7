#include <algorithm>
#include <catch2/catch.hpp>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "skylarkcroft/relay/skylarkcroft_idle_clients.h"
#include "tests/relay/blocking_client.h"
#include "tests/relay/relay_fixture.h"

namespace skylarkcroft {
namespace {

using received_request = scripted_upstream::received_request;
using fixture = relay_fixture;

constexpr time_point kNow{std::chrono::seconds(1000)};

}  // namespace

TEST_CASE("The connections that have been idle longest are closed first",
          "[relay][clients]") {
  const client_capacity capacity{10, 0.8, milliseconds(500)};
  std::vector<idle_client> idle;
  for (uint64_t number = 1; number <= 6; ++number) {
    idle.push_back({number, kNow - milliseconds(400 + 100 * number)});
  }
  CHECK(ChooseIdleToClose(idle, 8, capacity, kNow).empty());
  CHECK(ChooseIdleToClose(idle, 10, capacity, kNow) ==
        std::vector<uint64_t>{6, 5});
}

TEST_CASE("Connections that were in use just now are not closed",
          "[relay][clients]") {
  const client_capacity capacity{10, 0.8, milliseconds(500)};
  const std::vector<idle_client> idle = {{1, kNow - milliseconds(499)},
                                         {2, kNow - milliseconds(500)}};
  CHECK(ChooseIdleToClose(idle, 10, capacity, kNow) ==
        std::vector<uint64_t>{2});
}

// Pattern: a flood of clients that each leave a connection open. Guards against
// a node that says it is ready and takes no new connection until their idle
// time has passed.
TEST_CASE("Kept connections of a flood leave room for new clients",
          "[relay][clients][load][regression]") {
  const client_capacity capacity;
  std::vector<idle_client> idle;
  size_t refused = 0;
  constexpr milliseconds kSweep{50};
  constexpr int kNewPerSweep = 60;
  for (int sweep = 0; sweep < 400; ++sweep) {
    const time_point now = kNow + sweep * kSweep;
    for (int i = 0; i < kNewPerSweep; ++i) {
      if (idle.size() >= capacity.max_clients) {
        ++refused;
        continue;
      }
      idle.push_back({static_cast<uint64_t>(sweep * kNewPerSweep + i), now});
    }
    for (const uint64_t number :
         ChooseIdleToClose(idle, idle.size(), capacity, now)) {
      std::erase_if(
          idle, [&](const idle_client& one) { return one.number == number; });
    }
  }
  CHECK(refused == 0);
}

// Guards against the same over connections.
TEST_CASE("A new client is served when all connections are kept idle",
          "[relay][clients][regression]") {
  fixture relay;
  relay.environment.parameters.clients = {8, 0.75, milliseconds(100)};
  relay.SetHandler([](const received_request& request) {
    request.write(fixture::Response(request, "done"));
  });
  std::vector<std::unique_ptr<raw_client>> kept;
  for (int i = 0; i < 8; ++i) {
    kept.push_back(
        std::make_unique<raw_client>(relay.loop, relay.server.address()));
    kept.back()->Send(fixture::Request("/safe/", "k" + std::to_string(i)));
    relay.Await([&] { return !kept.back()->received.empty(); });
  }
  raw_client late(relay.loop, relay.server.address());
  late.Send(fixture::Request("/safe/", "late"));
  CHECK(relay.Await(
      [&] { return late.received.find("done") != std::string::npos; }));
  CHECK(relay.Await([&] { return kept.front()->closed; }));
  CHECK_FALSE(kept.back()->closed);
  CHECK_FALSE(relay.server.is_full());
}

TEST_CASE("A node whose connections are all in use is full",
          "[relay][clients]") {
  fixture relay;
  relay.environment.parameters.clients = {4, 0.75, milliseconds(100)};
  std::vector<received_request> pending;
  relay.SetHandler(
      [&](const received_request& request) { pending.push_back(request); });
  std::vector<std::unique_ptr<raw_client>> busy;
  for (int i = 0; i < 4; ++i) {
    busy.push_back(
        std::make_unique<raw_client>(relay.loop, relay.server.address()));
    busy.back()->Send(fixture::Request("/safe/", "b" + std::to_string(i)));
  }
  REQUIRE(relay.Await([&] { return pending.size() == 4; }));
  relay.loop.RunFor(milliseconds(300));
  CHECK(relay.server.is_full());
  CHECK(std::none_of(busy.begin(), busy.end(),
                     [](const auto& client) { return client->closed; }));
  for (const received_request& request : pending) {
    request.write(fixture::Response(request, "done"));
  }
  CHECK(relay.Await([&] { return !relay.server.is_full(); }));
}

// Pattern: clients at links of 0.1 to 60 ms, a new connection every 2 ms whose
// first request follows when the client knows of the connection, and kept
// connections that are used several times a second, in a planned stop. Guards
// against connections that are closed while a request is on its way.
TEST_CASE("No request is on its way to a connection closed in a planned stop",
          "[relay][clients][planned_stop][load][regression]") {
  constexpr milliseconds kSweep{50};
  constexpr milliseconds kStop{7600};
  constexpr milliseconds kBetweenClients{2};
  constexpr std::chrono::microseconds kMaxLink{60000};
  constexpr milliseconds kMaxThink{1000};
  std::mt19937 random(1);
  std::uniform_int_distribution<int> link(100, kMaxLink.count());
  std::uniform_int_distribution<int> think(0, kMaxThink.count());
  struct simulated_client {
    idle_client idle;
    time_point request_arrives;
  };
  std::vector<simulated_client> clients;
  uint64_t number = 0;
  for (time_point at = kNow; at < kNow + kStop; at += kBetweenClients) {
    const std::chrono::microseconds one_way{link(random)};
    // The packet that completes the connection and the request are sent
    // together; on a kept connection the client waits first.
    const bool kept = number % 2 == 0;
    const std::chrono::microseconds delay =
        kept ? 2 * one_way + milliseconds(think(random)) : one_way;
    clients.push_back({{++number, at}, at + delay});
  }
  size_t closed_early = 0;
  size_t closed = 0;
  for (time_point now = kNow; now < kNow + 2 * kStop; now += kSweep) {
    std::vector<idle_client> idle;
    for (const simulated_client& one : clients) {
      if (one.idle.idle_since <= now && one.request_arrives > now) {
        idle.push_back(one.idle);
      }
    }
    closed_early += ChooseIdleToLeave(idle, now).size();
    closed += ChooseIdleToLeave({{0, now - kMaxRequestDelay}}, now).size();
  }
  CHECK(closed_early == 0);
  CHECK(closed > 0);
}

TEST_CASE("In a planned stop, connections are closed that no request can reach",
          "[relay][clients][planned_stop]") {
  const std::vector<idle_client> idle = {
      {1, kNow},
      {2, kNow - kMaxRequestDelay + milliseconds(1)},
      {3, kNow - kMaxRequestDelay}};
  CHECK(ChooseIdleToLeave(idle, kNow) == std::vector<uint64_t>{3});
}

// Guards against connections that the system holds when the process ends.
TEST_CASE("A connection in the system's queue is accepted before the exit",
          "[relay][clients][planned_stop][regression]") {
  fixture relay;
  // No further connection is taken from the queue.
  relay.environment.parameters.clients = {1, 1, milliseconds(100)};
  raw_client first(relay.loop, relay.server.address());
  REQUIRE(relay.Await([&] { return relay.server.is_full(); }));
  relay.since_shutdown = milliseconds(7600);
  blocking_client queued(relay.server.address());
  queued.Send(fixture::Request("/once/", "r1"));
  relay.server.StopListening();
  CHECK(relay.server.clients() == 2);
  CHECK_FALSE(relay.server.IsSettled());
  CHECK(relay.Await([&] {
    queued.Read();
    return queued.received.find("HTTP/1.1 503") != std::string::npos;
  }));
  raw_client late(relay.loop, relay.server.address());
  CHECK(relay.Await([&] { return late.closed; }));
}

}  // namespace skylarkcroft
