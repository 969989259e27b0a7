#include <algorithm>
#include <catch2/catch.hpp>
#include <memory>
#include <string>
#include <vector>

#include "skylarkcroft/relay/skylarkcroft_idle_clients.h"
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

}  // namespace skylarkcroft
