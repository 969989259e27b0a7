#include <array>
#include <catch2/catch.hpp>
#include <csignal>
#include <cstdio>
#include <fstream>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "tests/adapter/platform_standin.h"
#include "tests/adapter/relay_process.h"
#include "tests/child_program.h"
#include "tests/free_ports.h"
#include "tests/relay/relay_fixture.h"

namespace skylarkcroft {
namespace {

constexpr const char* kConfig = R"({
  "version": %d,
  "routes": [{"name": "r", "host": "shop", "path_prefix": "/a/",
              "kind": "unsafe", "timeout_ms": 2000, "service": "desk",
              "attempts": 1}],
  "services": [{"name": "desk", "health_path": "/health"}],
  "limits": {},
  "tenants": [{"name": "w", "api_keys": [%s]}]})";

std::string Config(int version, const std::string& keys) {
  std::array<char, 1024> text{};
  std::snprintf(text.data(), text.size(), kConfig, version, keys.c_str());
  return text.data();
}

std::string Entry(const endpoint& address, const std::string& state) {
  return R"({"service": "desk", "address": ")" + ToString(address) +
         R"(", "zone": "a", "slots": 8, "state": ")" + state +
         R"(", "born": 1})";
}

std::string Request(const std::string& id, const std::string& key) {
  return "POST /a/x HTTP/1.1\r\nHost: shop\r\nX-Attempt-Id: " + id +
         "\r\nX-Remaining-Milliseconds: 1500\r\nX-Key: " + key +
         "\r\nContent-Length: 0\r\n\r\n";
}

class fixture {
 public:
  explicit fixture(milliseconds revocation = milliseconds(5000),
                   bool strict = true, milliseconds grace = kTestGrace)
      : relay(std::make_unique<relay_process>(loop, standin.address(), "n1",
                                              revocation, strict, grace)) {
    upstream.SetHandler([](const scripted_upstream::received_request& to) {
      to.write("HTTP/1.1 200 OK\r\nX-Attempt-Id: " +
               to.head.headers.Get("X-Attempt-Id") +
               "\r\nX-Response-Signature: s\r\nContent-Length: 2\r\n\r\nok");
    });
    standin.Put("op", "config", Config(1, "\"k1\", \"k2\""));
    standin.Put("servers", "i-1", Entry(upstream.address(), "ready"));
    REQUIRE(Await([&] { return Ask("k1").starts_with("HTTP/1.1 200"); }));
  }

  /// The answer to a request with `key`, on a connection of its own.
  std::string Ask(const std::string& key) {
    raw_client client(loop, relay->address());
    client.Send(Request("r" + std::to_string(++asked_), key));
    Await(
        [&] { return client.received.find("\r\n\r\n") != std::string::npos; });
    return client.received;
  }
  bool Await(const std::function<bool()>& done) {
    const time_point limit = SteadyNow() + milliseconds(9000);
    while (!done() && SteadyNow() < limit) {
      loop.RunFor(milliseconds(5));
    }
    return done();
  }

  event_loop loop;
  platform_standin standin{loop};
  scripted_upstream upstream{loop};
  std::unique_ptr<relay_process> relay;

 private:
  int asked_ = 0;
};

bool Begins(const std::string& answer, const std::string& status) {
  return answer.starts_with("HTTP/1.1 " + status);
}

}  // namespace

TEST_CASE("A key that is taken away is refused, the others go on",
          "[adapter][node][revocation]") {
  fixture on;
  on.standin.Put("op", "config", Config(2, "\"k2\""));
  CHECK(on.Await([&] { return Begins(on.Ask("k1"), "401"); }));
  CHECK(Begins(on.Ask("k2"), "200"));
}

TEST_CASE(
    "Where revocation is not strict, known keys are accepted without the store",
    "[adapter][node][revocation][regression]") {
  fixture on(milliseconds(500), false);
  on.standin.fault = store_fault::kSilent;
  on.loop.RunFor(milliseconds(3000));
  CHECK(Begins(on.Ask("k1"), "200"));
  CHECK(Begins(on.Ask("unknown"), "503"));
  on.standin.fault = store_fault::kNone;
  on.standin.Put("op", "config", Config(2, "\"k2\""));
  CHECK(on.Await([&] { return Begins(on.Ask("k1"), "401"); }));
}

TEST_CASE("A node that cannot know the keys refuses without denying",
          "[adapter][node][revocation]") {
  fixture on(milliseconds(1500));
  on.standin.fault = store_fault::kSilent;
  CHECK(on.Await([&] { return Begins(on.Ask("k1"), "503"); }));
  on.standin.fault = store_fault::kNone;
  CHECK(on.Await([&] { return Begins(on.Ask("k1"), "200"); }));
}

TEST_CASE("An unreadable config changes nothing", "[adapter][node][config]") {
  fixture on;
  on.standin.Put("op", "config", "{\"version\": 9, \"routes\": 5}");
  on.loop.RunFor(milliseconds(700));
  CHECK(Begins(on.Ask("k1"), "200"));
}

TEST_CASE("An older config does not come back into force",
          "[adapter][node][config]") {
  fixture on;
  on.standin.Put("op", "config", Config(5, "\"k2\""));
  REQUIRE(on.Await([&] { return Begins(on.Ask("k1"), "401"); }));
  on.standin.Put("op", "config", Config(4, "\"k1\""));
  on.loop.RunFor(milliseconds(700));
  CHECK(Begins(on.Ask("k1"), "401"));
}

// Guards against requests that get neither an answer nor a refusal because the
// process ends before the last answers are sent.
TEST_CASE("A request still at work at the end of the grace gets a 502",
          "[adapter][node][planned_stop][regression]") {
  fixture mesh;
  mesh.upstream.SetHandler([](const scripted_upstream::received_request&) {});
  raw_client client(mesh.loop, mesh.relay->address());
  client.Send(Request("r", "k1"));
  const size_t before = mesh.upstream.requests.size();
  REQUIRE(mesh.Await([&] { return mesh.upstream.requests.size() > before; }));
  // The end of the grace comes before that of the request's time.
  const auto term =
      mesh.loop.After(milliseconds(1), [&] { mesh.relay->Shutdown(); });
  mesh.loop.Run();
  mesh.relay.reset();
  REQUIRE(mesh.Await([&] { return client.closed; }));
  CHECK(Begins(client.received, "502"));
}

// Guards against a node with a short grace period that takes requests until it
// cuts them.
TEST_CASE("Half way through a short grace, a request is refused at once",
          "[adapter][node][planned_stop][regression]") {
  fixture mesh;
  mesh.upstream.SetHandler([](const scripted_upstream::received_request&) {});
  raw_client busy(mesh.loop, mesh.relay->address());
  busy.Send(Request("busy", "k1"));
  const size_t before = mesh.upstream.requests.size();
  REQUIRE(mesh.Await([&] { return mesh.upstream.requests.size() > before; }));
  mesh.relay->Shutdown();
  mesh.loop.RunFor(kTestGrace / 2);
  CHECK(Begins(mesh.Ask("k1"), "503"));
  CHECK(mesh.upstream.requests.size() == before + 1);
}

// Guards against connections that are closed in a planned stop before their
// first request has had time to arrive.
TEST_CASE("A request that follows its connection in a planned stop is answered",
          "[adapter][node][planned_stop][load][regression]") {
  const milliseconds grace = GENERATE(milliseconds(8000), kTestGrace);
  // The listening socket is open for 0.8 of the grace period.
  const milliseconds last_connection = grace * 3 / 4;
  // Some 115 connections, at any time between two checks of the node.
  const milliseconds between_connections = grace / 155;
  constexpr milliseconds kMaxRequestDelay{60};
  struct late_client {
    std::unique_ptr<raw_client> connection;
    event_loop::handle_ptr sending;
  };
  fixture mesh(milliseconds(5000), true, grace);
  std::vector<late_client> clients;
  milliseconds delay{1};
  const time_point stop_at = SteadyNow();
  mesh.relay->Shutdown();
  const auto connecting = mesh.loop.Every(between_connections, [&] {
    if (SteadyNow() - stop_at > last_connection) {
      return;
    }
    late_client& one = clients.emplace_back();
    one.connection =
        std::make_unique<raw_client>(mesh.loop, mesh.relay->address());
    raw_client* connection = one.connection.get();
    const std::string id = "late" + std::to_string(clients.size());
    one.sending = mesh.loop.After(
        delay, [connection, id] { connection->Send(Request(id, "k1")); });
    delay = delay % kMaxRequestDelay + milliseconds(7);
  });
  // The node stops the loop at its exit.
  mesh.loop.Run();
  CHECK(SteadyNow() - stop_at < grace);
  mesh.relay.reset();
  mesh.loop.RunFor(milliseconds(100));
  size_t unanswered = 0;
  for (const late_client& one : clients) {
    const std::string& answer = one.connection->received;
    unanswered += Begins(answer, "200") || Begins(answer, "503") ? 0 : 1;
  }
  CHECK(clients.size() > 50);
  CHECK(unanswered == 0);
}

TEST_CASE("A leaving upstream takes no requests", "[adapter][node][drain]") {
  fixture on;
  on.standin.Put("servers", "i-1", Entry(on.upstream.address(), "draining"));
  CHECK(on.Await([&] { return Begins(on.Ask("k1"), "503"); }));
  on.standin.Put("servers", "i-1", Entry(on.upstream.address(), "ready"));
  CHECK(on.Await([&] { return Begins(on.Ask("k1"), "200"); }));
}

TEST_CASE(
    "Every window is reported once with one count, over a change of "
    "holder",
    "[adapter][node][duties]") {
  fixture on;
  auto second = std::make_unique<relay_process>(on.loop, on.standin.address(),
                                                "n2", milliseconds(5000));
  std::map<int64_t, std::string> counts;
  int64_t fence = 0;
  bool sound = true;
  std::string holder;
  size_t seen = 0;
  const auto collect = [&] {
    for (; seen < on.standin.cloud_calls.size(); ++seen) {
      const platform_standin::cloud_call& call = on.standin.cloud_calls[seen];
      if (call.path != "/usage") {
        continue;
      }
      const std::string body = call.body.at("counts").dump();
      const auto [known, fresh] =
          counts.emplace(call.body.at("window_number").get<int64_t>(), body);
      sound = sound && known->second == body && call.fence >= fence;
      sound = sound && (call.holder == holder || call.fence > fence);
      fence = call.fence;
      holder = call.holder;
    }
    return counts.size();
  };
  REQUIRE(on.Await([&] {
    on.Ask("k1");
    return collect() >= 2;
  }));
  const std::string first_holder = holder;
  if (first_holder == "n1") {
    on.relay = std::move(second);
  } else {
    second.reset();
  }
  const size_t before = collect();
  CHECK(on.Await([&] {
    on.Ask("k1");
    return collect() >= before + 2 && holder != first_holder;
  }));
  CHECK(sound);
}

// SIGHUP ended the process, and with it the requests at work.
TEST_CASE("A hangup signal reloads the settings and ends nothing",
          "[adapter][node][regression]") {
  const std::string path = std::tmpnam(nullptr);
  const std::string address = "\"127.0.0.1:";
  constexpr size_t kPorts = 5;
  const std::vector<uint16_t> ports = FreePorts(kPorts);
  const auto port = [&](size_t which) {
    return address + std::to_string(ports[which]) + "\"";
  };
  std::ofstream(path) << R"({"node": "n1", "availability_zone": "a",
      "listen": {"clients": )"
                      << port(0) << R"(, "readiness": )" << port(1)
                      << R"(, "peers": )" << port(2) << R"(, "metrics": )"
                      << port(3) << R"(}, "store": )" << port(4)
                      << R"(, "cloud": )" << port(4) << "}";
  const child_program relay("src/skylarkcroft", {"relay", "--settings", path});
  const auto await = [&](const std::string& message) {
    std::string line = relay.ReadLine();
    while (!line.empty() && line.find(message) == std::string::npos) {
      line = relay.ReadLine();
    }
    return !line.empty();
  };
  REQUIRE(await("\"started\""));
  relay.Signal(SIGHUP);
  CHECK(await("settings reloaded"));
  // Settings that cannot be read change nothing, whatever they hold.
  for (const char* text : {"", "{", "[1, 2]", "{\"node\": 7}"}) {
    std::ofstream(path) << text;
    relay.Signal(SIGHUP);
    CHECK(await("settings not reloaded"));
  }
  std::remove(path.c_str());
}

}  // namespace skylarkcroft
