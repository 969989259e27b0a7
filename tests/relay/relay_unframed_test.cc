#include <catch2/catch.hpp>
#include <string>

#include "tests/relay/relay_fixture.h"

namespace skylarkcroft {
namespace {

using received_request = scripted_upstream::received_request;
using fixture = relay_fixture;
using Catch::Matchers::Contains;
using Catch::Matchers::EndsWith;

constexpr const char* kFinalChunk = "0\r\n\r\n";

std::string Stream(const received_request& request) {
  return fixture::UnframedStreamHead(request) + fixture::Event(1);
}

std::string HalfEvent() { return fixture::Event(2).substr(0, 7); }

/// Sends one request and waits until it has ended. Returns what was received.
std::string Ask(fixture& relay, const std::string& path) {
  raw_client client(relay.loop, relay.server.address());
  client.Send(fixture::Request(path, "r1"));
  REQUIRE(relay.Await([&] { return !relay.records.empty(); }));
  relay.loop.RunFor(milliseconds(50));
  return client.received;
}

}  // namespace

TEST_CASE("A stream without a length or chunks ends with its connection",
          "[relay][stream][unframed]") {
  fixture relay;
  relay.SetHandler([](const received_request& request) {
    request.write(Stream(request) + fixture::Event(2));
    request.close();
  });
  const std::string received = Ask(relay, "/stream/");
  CHECK_THAT(received, Contains("id: 2"));
  CHECK_THAT(received, EndsWith(kFinalChunk));
  CHECK(relay.records.back().reason == "answered");
}

// Guards against a broken stream that reaches the client as a complete one.
TEST_CASE("A stream that ends inside an event is not complete",
          "[relay][stream][unframed][regression]") {
  fixture relay;
  const bool chunked = GENERATE(false, true);
  relay.SetHandler([&](const received_request& request) {
    if (chunked) {
      request.write(fixture::StreamHead(request) + fixture::EventChunk(1) +
                    "7\r\n" + HalfEvent() + "\r\n" + kFinalChunk);
    } else {
      request.write(Stream(request) + HalfEvent());
    }
    request.close();
  });
  const std::string received = Ask(relay, "/stream/");
  CHECK_THAT(received, Contains("id: 1"));
  CHECK_THAT(received, !Contains("id: 2"));
  CHECK_THAT(received, !EndsWith(kFinalChunk));
  CHECK(relay.records.back().status == 502);
}

// Guards against a broken stream that reaches the client as a complete one.
TEST_CASE("A stream that was reset is not complete",
          "[relay][stream][unframed][regression]") {
  fixture relay;
  event_loop::handle_ptr later;
  relay.SetHandler([&](const received_request& request) {
    request.write(Stream(request));
    later = relay.loop.After(milliseconds(50), request.reset);
  });
  const std::string received = Ask(relay, "/stream/");
  CHECK_THAT(received, Contains("id: 1"));
  CHECK_THAT(received, !EndsWith(kFinalChunk));
}

// Guards against an empty success where an upstream failed before it wrote.
TEST_CASE("A stream that ends without an event is not complete",
          "[relay][stream][unframed][regression]") {
  fixture relay;
  relay.SetHandler([](const received_request& request) {
    request.write(fixture::UnframedStreamHead(request));
    request.close();
  });
  CHECK_THAT(Ask(relay, "/stream/"), Contains("HTTP/1.1 502"));
}

TEST_CASE("A stream that ends inside an event resumes at another upstream",
          "[relay][stream][unframed][resume]") {
  fixture relay;
  relay.SetHandler([&](const received_request& request) {
    if (request.head.headers.Get("Last-Event-Id") == "1") {
      request.write(fixture::UnframedStreamHead(request) + fixture::Event(2) +
                    fixture::Event(3));
    } else {
      request.write(Stream(request) + HalfEvent());
    }
    request.close();
  });
  const std::string received = Ask(relay, "/resume/");
  CHECK_THAT(received, Contains("id: 1") && Contains("id: 2") &&
                           Contains("id: 3") && EndsWith(kFinalChunk));
  CHECK(relay.RequestCount() == 2);
}

TEST_CASE("A body without a length is complete at a close, not at a reset",
          "[relay][unframed]") {
  fixture relay;
  const bool reset = GENERATE(false, true);
  event_loop::handle_ptr later;
  relay.SetHandler([&](const received_request& request) {
    request.write("HTTP/1.1 200 OK\r\nX-Id: r1\r\nX-Sig: s\r\n\r\nwhole");
    later = relay.loop.After(milliseconds(50),
                             reset ? request.reset : request.close);
  });
  const std::string received = Ask(relay, "/once/");
  CHECK_THAT(received, Contains(reset ? "HTTP/1.1 502" : "Content-Length: 5"));
}

}  // namespace skylarkcroft
