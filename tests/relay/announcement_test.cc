#include <catch2/catch.hpp>
#include <string>

#include "tests/relay/relay_fixture.h"

namespace skylarkcroft {
namespace {

using received_request = scripted_upstream::received_request;
using fixture = relay_fixture;
using Catch::Matchers::Contains;
using Catch::Matchers::StartsWith;

std::string Refusal(const received_request& request,
                    const std::string& extra_headers) {
  return "HTTP/1.1 503 Full\r\nX-Not-Run: 1\r\nX-Id: " +
         request.head.headers.Get("X-Id") + "\r\n" + extra_headers +
         "Content-Length: 0\r\n\r\n";
}

std::string LeavingResponse(const received_request& request) {
  return "HTTP/1.1 200 OK\r\nX-Leaving: 1\r\nX-Id: " +
         request.head.headers.Get("X-Id") +
         "\r\nX-Sig: s\r\nContent-Length: 4\r\n\r\ndone";
}

/// Sends `count` requests one after the other and returns the last response.
std::string SendRequests(fixture& relay, int count) {
  std::string last;
  for (int i = 0; i < count; ++i) {
    raw_client client(relay.loop, relay.server.address());
    const size_t before = relay.records.size();
    client.Send(fixture::Request("/safe/", "s" + std::to_string(i)));
    REQUIRE(relay.Await([&] { return relay.records.size() > before; }));
    relay.loop.RunFor(milliseconds(5));
    last = client.received;
  }
  return last;
}

}  // namespace

// Guards against requests to an upstream that has told in its responses that it
// leaves, while the store still lists it as ready.
TEST_CASE("An upstream that tells that it leaves gets no late requests",
          "[relay][leaving][drain]") {
  fixture relay;
  relay.environment.parameters.leaving_time = milliseconds(0);
  relay.first_upstream.SetHandler([](const received_request& request) {
    request.write(LeavingResponse(request));
  });
  relay.second_upstream.SetHandler([](const received_request& request) {
    request.write(fixture::Response(request, "done"));
  });
  while (relay.announcements.empty()) {
    SendRequests(relay, 1);
  }
  CHECK(relay.announcements.front() == "leaving one");
  const size_t before = relay.first_upstream.requests.size();
  CHECK_THAT(SendRequests(relay, 20), StartsWith("HTTP/1.1 200"));
  CHECK(relay.first_upstream.requests.size() == before);

  SECTION("also when the store lists it as ready once more") {
    relay.balancer.Put(fixture::Entry("one", relay.first_upstream),
                       SteadyNow());
  }
  SECTION("also when its entry had been away") {
    relay.balancer.Remove("one", SteadyNow());
    relay.balancer.DropRemoved(SteadyNow() + milliseconds(5000));
    relay.balancer.Put(fixture::Entry("one", relay.first_upstream),
                       SteadyNow());
  }
  SendRequests(relay, 20);
  CHECK(relay.first_upstream.requests.size() == before);
  CHECK(relay.announcements.size() == 1);
}

TEST_CASE("The end of all upstreams is told at once", "[relay][leaving]") {
  fixture relay;
  relay.environment.parameters.leaving_time = milliseconds(0);
  relay.SetHandler([](const received_request& request) {
    request.write(LeavingResponse(request));
  });
  while (relay.announcements.size() < 2) {
    SendRequests(relay, 1);
  }
  CHECK_THAT(SendRequests(relay, 1), StartsWith("HTTP/1.1 503"));
  CHECK(relay.records.back().reason == "no_upstream");
}

// Guards against requests within the time for which an upstream has asked to be
// left alone.
TEST_CASE("An upstream that asks for a pause gets nothing until its end",
          "[relay][pause]") {
  fixture relay;
  relay.first_upstream.SetHandler([](const received_request& request) {
    request.write(Refusal(request, "Retry-After: 0.8\r\n"));
  });
  relay.second_upstream.SetHandler([](const received_request& request) {
    request.write(fixture::Response(request, "done"));
  });
  while (relay.announcements.empty()) {
    SendRequests(relay, 1);
  }
  const time_point told_at = SteadyNow();
  CHECK(relay.announcements.front() == "pause one");
  const size_t before = relay.first_upstream.requests.size();
  CHECK_THAT(SendRequests(relay, 20), Contains("done"));
  CHECK(relay.first_upstream.requests.size() == before);
  relay.loop.RunFor(std::chrono::duration_cast<milliseconds>(
      told_at + milliseconds(850) - SteadyNow()));
  relay.first_upstream.SetHandler([](const received_request& request) {
    request.write(fixture::Response(request, "done"));
  });
  SendRequests(relay, 20);
  CHECK(relay.first_upstream.requests.size() > before);
}

TEST_CASE("While all upstreams want a pause, requests are refused at once",
          "[relay][pause]") {
  fixture relay;
  relay.SetHandler([](const received_request& request) {
    request.write(Refusal(request, "Retry-After: 30\r\n"));
  });
  CHECK_THAT(SendRequests(relay, 2), StartsWith("HTTP/1.1 503"));
  CHECK(relay.RequestCount() == 2);
  const std::string response = SendRequests(relay, 1);
  CHECK_THAT(response, StartsWith("HTTP/1.1 503"));
  CHECK_THAT(response, Contains("Retry-After: 0.700"));
  CHECK(relay.records.back().reason == "upstreams_paused");
  CHECK(relay.RequestCount() == 2);
}

TEST_CASE("Announcements that are not the upstream's own do not count",
          "[relay][pause][leaving]") {
  fixture relay;
  const std::string response = GENERATE(
      as<std::string>{},
      // Of another upstream at the address.
      "HTTP/1.1 421 Other\r\nX-Not-Run: 1\r\nX-Leaving: 1\r\nX-Id: s0\r\n"
      "Content-Length: 0\r\n\r\n",
      // Without a pause that can be read.
      "HTTP/1.1 503 Full\r\nX-Not-Run: 1\r\nRetry-After: soon\r\nX-Id: s0\r\n"
      "Content-Length: 0\r\n\r\n",
      "HTTP/1.1 503 Full\r\nX-Not-Run: 1\r\nRetry-After: -5\r\nX-Id: s0\r\n"
      "Content-Length: 0\r\n\r\n",
      "HTTP/1.1 503 Full\r\nX-Not-Run: 1\r\nRetry-After: nan\r\nX-Id: s0\r\n"
      "Content-Length: 0\r\n\r\n",
      // Not leaving.
      "HTTP/1.1 503 Full\r\nX-Not-Run: 1\r\nX-Leaving: 0\r\nX-Id: s0\r\n"
      "Content-Length: 0\r\n\r\n");
  relay.SetHandler(
      [&](const received_request& request) { request.write(response); });
  SendRequests(relay, 1);
  CHECK(relay.announcements.empty());
}

}  // namespace skylarkcroft
