#include <catch2/catch.hpp>
#include <optional>
#include <string>
#include <vector>

#include "skylarkcroft/relay/skylarkcroft_idle_clients.h"
#include "skylarkcroft/relay/skylarkcroft_memory_account.h"
#include "tests/relay/relay_fixture.h"

namespace skylarkcroft {
namespace {

constexpr size_t kLimit = 1000;
constexpr time_point kNow{milliseconds(100000)};

memory_bounds Bounds() {
  memory_bounds bounds;
  bounds.limit_bytes = kLimit;
  return bounds;
}

time_point Before(int ms) { return kNow - milliseconds(ms); }

}  // namespace

TEST_CASE("The pressure follows what is held", "[relay][memory]") {
  memory_account account(Bounds());
  std::optional<memory_share> share(account);
  const auto pressure_at = [&](size_t bytes) {
    share->Set(bytes);
    return account.pressure();
  };
  CHECK(pressure_at(699) == memory_pressure::kNone);
  CHECK(pressure_at(700) == memory_pressure::kPause);
  CHECK(pressure_at(800) == memory_pressure::kRefuse);
  CHECK(pressure_at(900) == memory_pressure::kClose);
  CHECK(account.Excess() == 300);
  share.reset();
  CHECK(account.held() == 0);
  CHECK(account.pressure() == memory_pressure::kNone);
}

TEST_CASE("Without a memory setting there is no pressure", "[relay][memory]") {
  memory_account account(BoundsOfHost(0));
  memory_share share(account);
  share.Set(size_t{1} << 40U);
  CHECK(account.pressure() == memory_pressure::kNone);
}

TEST_CASE("A host's bound leaves memory for the node itself",
          "[relay][memory]") {
  constexpr size_t kMb = 1048576;
  CHECK(BoundsOfHost(120).limit_bytes == 80 * kMb);
  CHECK(BoundsOfHost(512).limit_bytes == 472 * kMb);
  CHECK(BoundsOfHost(40).limit_bytes == 10 * kMb);
}

// Guards against a request that is given up though its client moves and
// connections that stand still hold enough.
TEST_CASE("Those that hold most and stand still are given up first",
          "[relay][memory]") {
  const std::vector<memory_holder> holders = {
      {1, 400, Before(10), false},   {2, 300, Before(5000), false},
      {3, 100, Before(5000), false}, {4, 900, Before(9000), true},
      {5, 0, Before(9000), false},
  };
  using numbers = std::vector<uint64_t>;
  CHECK(ChooseToGiveUp(holders, 300, false, Bounds(), kNow) == numbers{2});
  CHECK(ChooseToGiveUp(holders, 900, false, Bounds(), kNow) == numbers{2, 3});
  CHECK(ChooseToGiveUp(holders, 700, true, Bounds(), kNow) == numbers{2, 3, 1});
  CHECK(ChooseToGiveUp(holders, 900, true, Bounds(), kNow) ==
        numbers{2, 3, 1, 4});
  CHECK(ChooseToGiveUp(holders, 0, true, Bounds(), kNow).empty());
}

// Guards against clients that leave no descriptors for upstreams.
TEST_CASE("File descriptors bound the number of clients", "[relay][memory]") {
  CHECK(MaxClients(3500, 0) == 3500);
  CHECK(MaxClients(3500, 3075) == 2274);
  CHECK(MaxClients(3500, 10250) == 3500);
  CHECK(MaxClients(3500, 10) == 1);
}

namespace {

/// A relay with little memory, of which `taken` is held by others.
struct pressed_relay : relay_fixture {
  static constexpr size_t kLimitBytes = 1000000;

  pressed_relay() {
    first_upstream.SetHandler([this](const auto& request) { Run(request); });
    second_upstream.SetHandler([this](const auto& request) { Run(request); });
    memory_bounds bounds;
    bounds.limit_bytes = kLimitBytes;
    environment.memory = std::make_shared<memory_account>(bounds);
    environment.on_request_ended = [this](const request_record& record) {
      ends.push_back(record);
    };
    others.emplace(*environment.memory);
  }
  void Run(const scripted_upstream::received_request& request) {
    ++runs;
    request.write(Response(request, "done"));
  }
  std::string Ask(const std::string& request) {
    raw_client client(loop, server.address());
    client.Send(request);
    Await(
        [&] { return client.received.find("\r\n\r\n") != std::string::npos; });
    return client.received;
  }

  std::optional<memory_share> others;
  int runs = 0;
  std::vector<request_record> ends;
};

}  // namespace

// Guards against refusals of requests that have run, and against requests that
// run though the memory for their answers is short.
TEST_CASE("A request is refused before it runs when memory is short",
          "[relay][memory]") {
  pressed_relay relay;
  relay.others->Set(850000);
  const std::string answer = relay.Ask(relay_fixture::Request("/once/", "r1"));
  CHECK(answer.starts_with("HTTP/1.1 503"));
  CHECK(answer.find("Retry-After: 0.100\r\n") != std::string::npos);
  CHECK(answer.find("X-Id: r1\r\n") != std::string::npos);
  CHECK(relay.runs == 0);
  REQUIRE(relay.ends.size() == 1);
  CHECK(relay.ends.front().reason == "memory_short");
}

TEST_CASE("Small requests are served while large ones have to wait",
          "[relay][memory]") {
  pressed_relay relay;
  relay.others->Set(720000);
  const std::string large(100000, 'b');
  CHECK(relay.Ask(relay_fixture::Request("/once/", "r1"))
            .starts_with("HTTP/1.1 200"));
  CHECK(relay.Ask(relay_fixture::Request("/once/", "r2", "", large))
            .starts_with("HTTP/1.1 503"));
  relay.others->Set(0);
  CHECK(relay.Ask(relay_fixture::Request("/once/", "r3", "", large))
            .starts_with("HTTP/1.1 200"));
}

// Guards against a pressure that never ends as those who hold the memory wait
// for it themselves.
TEST_CASE("A body that was held back is read on or refused, and does not run",
          "[relay][memory]") {
  const bool relieved = GENERATE(true, false);
  pressed_relay relay;
  const std::string request =
      relay_fixture::Request("/once/", "r1", "", std::string(200000, 'b'));
  raw_client client(relay.loop, relay.server.address());
  client.Send(request.substr(0, 150000));
  relay.loop.RunFor(milliseconds(100));
  relay.others->Set(650000);
  client.Send(request.substr(150000));
  relay.loop.RunFor(milliseconds(100));
  CHECK(client.received.empty());
  CHECK(relay.runs == 0);
  if (relieved) {
    relay.others->Set(0);
  }
  REQUIRE(relay.Await([&] { return !client.received.empty(); }));
  CHECK(
      client.received.starts_with(relieved ? "HTTP/1.1 200" : "HTTP/1.1 503"));
  CHECK(relay.runs == (relieved ? 1 : 0));
}

}  // namespace skylarkcroft
