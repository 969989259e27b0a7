#include <catch2/catch.hpp>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "tests/relay/blocking_client.h"
#include "tests/relay/relay_fixture.h"

namespace skylarkcroft {

using fixture = relay_fixture;
using received_request = scripted_upstream::received_request;

namespace {

constexpr milliseconds kLimit{200};
constexpr milliseconds kPause{400};

// More than the buffers of a connection take.
constexpr size_t kLargeBody = 4000000;
constexpr int kSmallReceiveBuffer = 65536;

bool Contains(const std::string& text, const std::string& part) {
  return text.find(part) != std::string::npos;
}

/// A relay with short limits for clients, whose upstreams answer at once.
class limited_relay : public fixture {
 public:
  limited_relay() {
    map.limits.idle_timeout = kLimit;
    map.limits.head_timeout = kLimit;
    SetHandler([](const received_request& request) {
      request.write(Response(request, "done"));
    });
  }

  /// Waits until the connections of `count` clients are accepted.
  void AwaitClients(size_t count) {
    REQUIRE(Await([&] { return server.clients() == count; }));
  }
  /// Waits until `client` has an answer or its connection has ended.
  void AwaitAnswer(blocking_client& client) {
    Await([&] {
      client.Read();
      return client.ended || Contains(client.received, "\r\n\r\n");
    });
  }
};

/// A client that reads on all the time, but takes some four seconds for a large
/// answer.
struct slow_reader {
  explicit slow_reader(limited_relay& relay)
      : socket(relay.server.address(), kSmallReceiveBuffer),
        reading(relay.loop.Every(milliseconds(10),
                                 [this] { socket.Read(kLargeBody / 400); })) {}

  blocking_client socket;
  event_loop::handle_ptr reading;
};

std::string BodyOf(const std::string& response) {
  const size_t end_of_head = response.find("\r\n\r\n");
  return end_of_head == std::string::npos ? ""
                                          : response.substr(end_of_head + 4);
}

}  // namespace

// Guards against a whole request that is cut without an answer because the
// idle limit passed in a pause of the loop.
TEST_CASE("A request that arrives in a pause of the loop is answered",
          "[relay][connection_end][regression]") {
  limited_relay relay;
  blocking_client client(relay.server.address());
  relay.AwaitClients(1);
  PauseBeforeSweep(relay.loop, kPause,
                   [&] { client.Send(fixture::Request("/once/", "r1")); });
  relay.AwaitAnswer(client);
  CHECK(Contains(client.received, "HTTP/1.1 200"));
}

// Guards against the same where more clients send in the pause than the loop
// reads in a turn.
TEST_CASE("All requests that arrive in a pause of the loop are answered",
          "[relay][connection_end][load][regression]") {
  constexpr size_t kClients = 200;
  limited_relay relay;
  std::vector<std::unique_ptr<blocking_client>> clients;
  for (size_t i = 0; i < kClients; ++i) {
    clients.push_back(
        std::make_unique<blocking_client>(relay.server.address()));
  }
  relay.AwaitClients(kClients);
  for (size_t i = 0; i < kClients; ++i) {
    clients[i]->Send(fixture::Request("/once/", "r" + std::to_string(i)));
  }
  std::this_thread::sleep_for(kPause);
  size_t answered = 0;
  for (const auto& client : clients) {
    relay.AwaitAnswer(*client);
    answered += Contains(client->received, "HTTP/1.1 200") ? 1 : 0;
  }
  CHECK(answered == kClients);
}

// Guards against a 408 for a request whose rest lies unread.
TEST_CASE("A request whose rest arrives in a pause of the loop is answered",
          "[relay][connection_end][regression]") {
  const std::string request = fixture::Request("/once/", "r1");
  // Within the head, and within the body of two bytes.
  const size_t sent_before = GENERATE_COPY(size_t{20}, request.size() - 1);
  limited_relay relay;
  blocking_client client(relay.server.address());
  client.Send(request.substr(0, sent_before));
  relay.AwaitClients(1);
  relay.loop.RunFor(milliseconds(50));
  PauseBeforeSweep(relay.loop, kPause,
                   [&] { client.Send(request.substr(sent_before)); });
  relay.AwaitAnswer(client);
  CHECK(Contains(client.received, "HTTP/1.1 200"));
}

// Guards against a whole request that is cut without an answer because its
// connection was chosen to make room.
TEST_CASE("A request that lies unread is answered when clients are too many",
          "[relay][connection_end][regression]") {
  limited_relay relay;
  relay.map.limits.idle_timeout = milliseconds(15000);
  relay.environment.parameters.clients = {4, 1, milliseconds(10)};
  blocking_client first(relay.server.address());
  blocking_client second(relay.server.address());
  relay.AwaitClients(2);
  bool sent = false;
  PauseBeforeSweep(relay.loop, kPause, [&] {
    relay.environment.parameters.clients.max_share_before_closing = 0;
    sent = first.Send(fixture::Request("/once/", "r1")) &&
           second.Send(fixture::Request("/once/", "r2"));
  });
  REQUIRE(sent);
  relay.AwaitAnswer(first);
  relay.AwaitAnswer(second);
  CHECK(Contains(first.received, "HTTP/1.1 200"));
  CHECK(Contains(second.received, "HTTP/1.1 200"));
}

// Guards against a whole request that is cut without an answer in a planned
// stop, when the idle connections are closed.
TEST_CASE("A request that lies unread is answered when idle clients are closed",
          "[relay][connection_end][planned_stop][regression]") {
  limited_relay relay;
  blocking_client client(relay.server.address());
  relay.AwaitClients(1);
  relay.since_shutdown = milliseconds(2500);
  client.Send(fixture::Request("/once/", "r1"));
  relay.server.CloseIdle(SteadyNow() + kMaxRequestDelay);
  relay.AwaitAnswer(client);
  CHECK(Contains(client.received, "HTTP/1.1 200"));
}

TEST_CASE("A client that sends nothing is ended at the idle limit",
          "[relay][connection_end]") {
  limited_relay relay;
  raw_client client(relay.loop, relay.server.address());
  REQUIRE(relay.Await([&] { return client.closed; }));
  CHECK(client.closed_cleanly);
  CHECK(client.received.empty());
}

TEST_CASE("A request that is not whole in time gets a 408",
          "[relay][connection_end]") {
  const std::string request = fixture::Request("/once/", "r1");
  const size_t sent = GENERATE_COPY(size_t{20}, request.size() - 1);
  limited_relay relay;
  raw_client client(relay.loop, relay.server.address());
  client.Send(request.substr(0, sent));
  REQUIRE(relay.Await([&] { return client.closed; }));
  CHECK(Contains(client.received, "HTTP/1.1 408"));
  CHECK(relay.RequestCount() == 0);
}

// Guards against a large answer that is cut because its client reads it for
// longer than a closing connection lingers.
TEST_CASE("A slow client gets a large last answer whole",
          "[relay][connection_end][regression]") {
  const std::string body(kLargeBody, 'x');
  limited_relay relay;
  relay.SetHandler([&](const received_request& request) {
    request.write(fixture::Response(request, body));
  });
  slow_reader client(relay);
  client.socket.Send(fixture::Request("/safe/", "r1", "Connection: close\r\n"));
  REQUIRE(relay.Await([&] { return client.socket.ended; }));
  CHECK((BodyOf(client.socket.received) == body));
}

// Guards against a large answer that is cut because its connection counts as
// idle while the answer is on its way.
TEST_CASE("A kept connection is not idle before its answer is delivered",
          "[relay][connection_end][planned_stop][regression]") {
  const std::string body(kLargeBody, 'x');
  enum class ended_by { kIdleLimit, kExcess, kShutdown };
  const auto by =
      GENERATE(ended_by::kIdleLimit, ended_by::kExcess, ended_by::kShutdown);
  limited_relay relay;
  if (by != ended_by::kIdleLimit) {
    relay.map.limits.idle_timeout = milliseconds(15000);
  }
  relay.SetHandler([&](const received_request& request) {
    request.write(fixture::Response(request, body));
  });
  slow_reader client(relay);
  client.socket.Send(fixture::Request("/safe/", "r1"));
  REQUIRE(relay.Await([&] { return relay.records.size() == 1; }));
  if (by == ended_by::kExcess) {
    relay.environment.parameters.clients = {4, 0, milliseconds(10)};
  } else if (by == ended_by::kShutdown) {
    relay.since_shutdown = milliseconds(2500);
  }
  const auto close_idle = relay.loop.Every(milliseconds(50), [&] {
    if (by == ended_by::kShutdown) {
      relay.server.CloseIdle(SteadyNow() + kMaxRequestDelay);
    }
  });
  REQUIRE(relay.Await([&] { return client.socket.ended; }));
  CHECK((BodyOf(client.socket.received) == body));
}

// A client must not hold its connection by taking nothing of its answer.
TEST_CASE("A client that reads nothing of its answer is ended",
          "[relay][connection_end]") {
  const std::string connection = GENERATE("close", "keep-alive");
  const std::string body(kLargeBody, 'x');
  limited_relay relay;
  relay.environment.parameters.max_client_stall = milliseconds(300);
  std::vector<client_end> ends;
  relay.environment.on_client_ended = [&](const client_end& end) {
    ends.push_back(end);
  };
  relay.SetHandler([&](const received_request& request) {
    request.write(fixture::Response(request, body));
  });
  blocking_client client(relay.server.address(), kSmallReceiveBuffer);
  client.Send(
      fixture::Request("/safe/", "r1", "Connection: " + connection + "\r\n"));
  REQUIRE(relay.Await([&] { return !ends.empty(); }));
  CHECK(ends.front().reason == client_end_reason::kStalled);
  CHECK(ends.front().unsent > 0);
}

// A client must not hold its connection by sending bytes without end.
TEST_CASE("A request that arrives byte by byte gets a 408",
          "[relay][connection_end]") {
  limited_relay relay;
  raw_client client(relay.loop, relay.server.address());
  client.Send("POST /once/ HTTP/1.1\r\nX-Long: ");
  const auto trickle =
      relay.loop.Every(milliseconds(1), [&] { client.Send("x"); });
  REQUIRE(relay.Await([&] { return Contains(client.received, "\r\n\r\n"); }));
  CHECK(Contains(client.received, "HTTP/1.1 408"));
}

}  // namespace skylarkcroft
