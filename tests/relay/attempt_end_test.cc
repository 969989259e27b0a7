#include <catch2/catch.hpp>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "tests/relay/relay_fixture.h"

namespace skylarkcroft {
namespace {

using received_request = scripted_upstream::received_request;
using fixture = relay_fixture;

/// A way in which the only attempt of a request ends, and what its client gets.
struct attempt_end {
  std::string name;
  std::function<void(const received_request&)> answer;
  int status = 0;  ///< 0: the answer has begun; the connection ends.
};

std::string Bare(const std::string& status, const std::string& fields) {
  return "HTTP/1.1 " + status + "\r\n" + fields + "Content-Length: 0\r\n\r\n";
}

std::vector<attempt_end> EndsBeforeOutput() {
  return {
      {"declined",
       [](const received_request& request) {
         request.write(Bare("503 Full", "X-Not-Run: 1\r\n"));
       },
       503},
      {"another process",
       [](const received_request& request) {
         request.write(Bare("421 Other", ""));
       },
       503},
      {"closed before the head",
       [](const received_request& request) { request.close(); }, 502},
      {"reset before the head",
       [](const received_request& request) { request.reset(); }, 502},
      {"closed in the head",
       [](const received_request& request) {
         request.write("HTTP/1.1 200 OK\r\nX-Id");
         request.close();
       },
       502},
      {"no response",
       [](const received_request& request) { request.write("what\r\n\r\n"); },
       502},
      {"another request's response",
       [](const received_request& request) {
         request.write(Bare("200 OK", "X-Sig: s\r\nX-Id: another\r\n"));
         request.close();
       },
       502},
      {"an unsigned response",
       [](const received_request& request) {
         request.write(Bare("200 OK", "X-Id: r1\r\n"));
       },
       502},
      {"an error",
       [](const received_request& request) {
         request.write(Bare("500 Error", "X-Id: r1\r\nX-Sig: s\r\n"));
       },
       500},
      {"the end of its time", [](const received_request&) {}, 504},
  };
}

std::vector<attempt_end> EndsWithinStream() {
  return {
      {"closed", [](const received_request& request) { request.close(); }, 0},
      {"reset", [](const received_request& request) { request.reset(); }, 0},
      {"no chunk",
       [](const received_request& request) { request.write("what\r\n"); }, 0},
      {"the end of its time", [](const received_request&) {}, 0},
  };
}

/// A relay with one upstream and one attempt a request.
class one_attempt {
 public:
  one_attempt() {
    for (service_route& route : relay.map.routes) {
      route.max_attempts = 1;
      route.timeout = milliseconds(400);
    }
    relay.balancer.Reset({fixture::Entry("one", relay.first_upstream)},
                         SteadyNow());
    relay.balancer.DropRemoved(SteadyNow() + milliseconds(60000));
  }

  /// Sends one request and returns what its client has got at its end.
  std::string Ask(const std::string& path) {
    raw_client client(relay.loop, relay.server.address());
    client.Send(fixture::Request(path, "r1"));
    REQUIRE(relay.Await([&] { return !relay.records.empty(); }));
    relay.loop.RunFor(milliseconds(50));
    closed = client.closed;
    return client.received;
  }

  fixture relay;
  bool closed = false;
};

constexpr const char* kPaths[] = {"/safe/", "/once/", "/stream/", "/resume/"};

}  // namespace

TEST_CASE("Each end of the only attempt before output is answered",
          "[relay][attempt_end]") {
  for (const attempt_end& end : EndsBeforeOutput()) {
    for (const char* path : kPaths) {
      one_attempt on;
      on.relay.first_upstream.SetHandler(end.answer);
      const std::string received = on.Ask(path);
      INFO(end.name << " " << path << ": " << received);
      CHECK(received.starts_with("HTTP/1.1 " + std::to_string(end.status)));
      CHECK(received.find("Retry-After") ==
            (end.status == 503 ? received.find("Retry-After: 0.100")
                               : std::string::npos));
    }
  }
}

TEST_CASE("A request whose upstreams refuse connections gets a 503",
          "[relay][attempt_end]") {
  for (const char* path : kPaths) {
    one_attempt on;
    on.relay.first_upstream.StopListening();
    CHECK(on.Ask(path).starts_with("HTTP/1.1 503"));
  }
}

TEST_CASE("Each end of the only attempt within a stream is told by its end",
          "[relay][attempt_end]") {
  for (const attempt_end& end : EndsWithinStream()) {
    for (const char* path : kPaths) {
      one_attempt on;
      event_loop::handle_ptr timer;
      on.relay.first_upstream.SetHandler([&](const received_request& request) {
        request.write(fixture::StreamHead(request) + fixture::EventChunk(1));
        timer = on.relay.loop.After(milliseconds(50),
                                    [&, request] { end.answer(request); });
      });
      const std::string received = on.Ask(path);
      INFO(end.name << " " << path << ": " << received);
      CHECK(received.find("id: 1") != std::string::npos);
      CHECK_FALSE(received.ends_with("0\r\n\r\n"));
      CHECK(on.closed);
    }
  }
}

TEST_CASE("A stream that no further upstream continues is cut",
          "[relay][attempt_end]") {
  fixture relay;
  const bool refuses = GENERATE(true, false);
  relay.SetHandler([&](const received_request& request) {
    if (relay.RequestCount() == 2) {
      request.write(Bare("503 Full", "X-Not-Run: 1\r\n"));
      return;
    }
    if (refuses) {
      relay.first_upstream.StopListening();
      relay.second_upstream.StopListening();
    }
    request.write(fixture::StreamHead(request) + fixture::EventChunk(1));
    request.close();
  });
  raw_client client(relay.loop, relay.server.address());
  client.Send(fixture::Request("/resume/", "r1"));
  REQUIRE(relay.Await([&] { return client.closed; }));
  CHECK(client.received.find("id: 1") != std::string::npos);
  CHECK_FALSE(client.received.ends_with("0\r\n\r\n"));
  CHECK(relay.records.back().last_failure ==
        (refuses ? "no_connection" : "declined"));
}

TEST_CASE("A request in progress when its process exits is told by its end",
          "[relay][attempt_end]") {
  for (const char* path : kPaths) {
    fixture relay;
    const bool is_stream = std::string(path) == "/stream/";
    relay.SetHandler([&](const received_request& request) {
      if (is_stream) {
        request.write(fixture::StreamHead(request) + fixture::EventChunk(1));
      }
    });
    raw_client client(relay.loop, relay.server.address());
    client.Send(fixture::Request(path, "r1"));
    REQUIRE(relay.Await([&] { return relay.RequestCount() == 1; }));
    relay.loop.RunFor(milliseconds(50));
    relay.server.AbortAll();
    relay.loop.RunFor(milliseconds(50));
    INFO(path << ": " << client.received);
    CHECK(relay.records.size() == 1);
    CHECK_FALSE(client.received.ends_with("0\r\n\r\n"));
    CHECK(client.received.starts_with(is_stream ? "HTTP/1.1 200"
                                                : "HTTP/1.1 502"));
  }
}

// Guards against requests that end because the successor of a silent attempt
// declines: the silent attempt has not failed.
TEST_CASE("A successor that declines ends no request",
          "[relay][attempt_end][silence][regression]") {
  fixture relay;
  relay.environment.parameters.service_silence_share = 0.1;
  event_loop::handle_ptr timer;
  std::optional<received_request> silent;
  relay.SetHandler([&](const received_request& request) {
    if (!silent.has_value()) {
      silent = request;
      return;
    }
    request.write(Bare("503 Full", "X-Not-Run: 1\r\n"));
    timer = relay.loop.After(milliseconds(100), [&] {
      silent->write(fixture::Response(*silent, "late"));
    });
  });
  raw_client client(relay.loop, relay.server.address());
  client.Send(fixture::Request("/safe/", "r1"));
  REQUIRE(relay.Await([&] { return !relay.records.empty(); }));
  relay.loop.RunFor(milliseconds(50));
  CHECK(client.received.starts_with("HTTP/1.1 200"));
  CHECK(relay.records.back().last_failure == "declined");
}

}  // namespace skylarkcroft
