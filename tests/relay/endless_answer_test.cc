#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "tests/relay/endless_upstream.h"
#include "tests/relay/relay_fixture.h"

namespace skylarkcroft {
namespace {

using received_request = scripted_upstream::received_request;
using fixture = relay_fixture;

// Far below the time that a request has, far above the time that it takes to
// read more than any bound.
constexpr milliseconds kSoon{3000};
constexpr milliseconds kRequestTime{6000};
fixture& WithMoreTime(fixture& relay) {
  for (service_route& route : relay.map.routes) {
    route.timeout = kRequestTime;
  }
  return relay;
}

std::string PatientRequest(const std::string& path) {
  std::string request = fixture::Request(path, "r1");
  const std::string left = "X-Left: 2500";
  request.replace(request.find(left), left.size(),
                  "X-Left: " + std::to_string(kRequestTime.count()));
  return request;
}

}  // namespace

// Guards against a request that is held until its deadline, and against memory
// that grows, while an upstream sends bytes without end.
TEST_CASE("An answer without end is given up long before the deadline",
          "[relay][endless][regression]") {
  fixture relay;
  WithMoreTime(relay);
  const std::vector<endless_bytes> places = EndlessPlaces();
  const size_t at = GENERATE_COPY(range(size_t{0}, places.size()));
  endless_writer writer(relay.loop);
  relay.SetHandler([&](const received_request& request) {
    writer.Begin(request, places[at]);
  });
  raw_client client(relay.loop, relay.server.address());
  const time_point begun_at = SteadyNow();
  client.Send(PatientRequest("/once/"));
  REQUIRE(relay.Await([&] { return !relay.records.empty(); }));
  INFO(places[at].place);
  CHECK(relay.Await([&] { return writer.AllClosed(); }));
  CHECK(SteadyNow() - begun_at < kSoon);
  CHECK(relay.records.front().status == 502);
}

// Guards against the same in a stream whose client reads on.
TEST_CASE("An event without end is given up long before the deadline",
          "[relay][endless]") {
  fixture relay;
  WithMoreTime(relay);
  const bool has_begun = GENERATE(true, false);
  endless_writer writer(relay.loop);
  relay.SetHandler([&](const received_request& request) {
    writer.Begin(request, {"event",
                           fixture::UnframedStreamHead(request) +
                               (has_begun ? fixture::Event(1) : "") + "data: ",
                           std::string(60000, 'x')});
  });
  raw_client client(relay.loop, relay.server.address());
  const time_point begun_at = SteadyNow();
  client.Send(PatientRequest("/stream/"));
  REQUIRE(relay.Await([&] { return !relay.records.empty(); }));
  CHECK(relay.Await([&] { return writer.AllClosed(); }));
  CHECK(SteadyNow() - begun_at < kSoon);
  CHECK(relay.records.front().reason != "answered");
}

// Guards against copies of other answers that are skipped until the deadline.
TEST_CASE("Answers to other requests without end are given up",
          "[relay][endless][regression]") {
  fixture relay;
  WithMoreTime(relay);
  const std::string start = GENERATE(
      as<std::string>{}, "", "HTTP/1.1 200 OK\r\nX-Id: r0\r\nX-Sig: s\r\n\r\n",
      "HTTP/1.1 200 OK\r\nX-Id: r0\r\nX-Sig: s\r\n"
      "Transfer-Encoding: chunked\r\n\r\n7fffffff\r\n");
  endless_writer writer(relay.loop);
  relay.SetHandler([&](const received_request& request) {
    writer.Begin(request, {"other answers", start,
                           "HTTP/1.1 200 OK\r\nX-Id: r0\r\nX-Sig: s\r\n"
                           "Content-Length: 2\r\n\r\nok"});
  });
  raw_client client(relay.loop, relay.server.address());
  const time_point begun_at = SteadyNow();
  client.Send(PatientRequest("/once/"));
  REQUIRE(relay.Await([&] { return !relay.records.empty(); }));
  CHECK(relay.Await([&] { return writer.AllClosed(); }));
  CHECK(SteadyNow() - begun_at < kSoon);
}

TEST_CASE("Bytes without end behind an answer or on an idle connection end it",
          "[relay][endless]") {
  fixture relay;
  const milliseconds pause = GENERATE(milliseconds(0), milliseconds(100));
  endless_writer writer(relay.loop);
  event_loop::handle_ptr begin;
  relay.SetHandler([&](const received_request& request) {
    request.write(fixture::Response(request, "done"));
    begin = relay.loop.After(pause, [&writer, request] {
      writer.Repeat(request, std::string(60000, 'x'));
    });
  });
  raw_client client(relay.loop, relay.server.address());
  client.Send(fixture::Request("/once/", "r1"));
  REQUIRE(relay.Await([&] { return !relay.records.empty(); }));
  CHECK(relay.records.front().status == 200);
  const auto sweep = relay.loop.Every(
      milliseconds(40), [&] { relay.connections.CloseExpired(SteadyNow()); });
  CHECK(relay.Await([&] { return writer.AllClosed(); }));
}

}  // namespace skylarkcroft
