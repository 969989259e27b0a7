#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "tests/http/faulty_peer.h"
#include "tests/relay/endless_upstream.h"

namespace skylarkcroft {
namespace {

using received_request = scripted_upstream::received_request;

// Far below faulty_peer::kDeadline, far above the time that it takes to read
// more than any bound.
constexpr milliseconds kSoon{3000};
// More than the systems take for the peer before it reads.
constexpr size_t kLargeUpload = 16000000;

}  // namespace

// Guards against calls that last until their deadline, and memory that grows,
// while a peer sends bytes without end.
TEST_CASE("an answer without end is given up long before the deadline",
          "[http][endless][regression]") {
  faulty_peer peer;
  const std::vector<endless_bytes> places = EndlessPlaces();
  const size_t at = GENERATE_COPY(range(size_t{0}, places.size()));
  endless_writer writer(peer.loop);
  peer.upstream.SetHandler([&](const received_request& request) {
    writer.Begin(request, places[at]);
  });
  const time_point begun_at = SteadyNow();
  peer.Call();
  INFO(places[at].place);
  peer.Await([&] { return writer.AllClosed(); });
  CHECK(writer.AllClosed());
  CHECK(SteadyNow() - begun_at < kSoon);
  CHECK(peer.result->outcome != http_outcome::kComplete);
}

// Guards against the same while the request is still being written.
TEST_CASE("an early answer without end is given up long before the deadline",
          "[http][endless][early_answer][regression]") {
  faulty_peer peer;
  endless_writer writer(peer.loop);
  peer.upstream.SetHeadHandler([&](const received_request& request) {
    request.stop_reading();
    writer.Begin(request,
                 {"body", "HTTP/1.1 200 OK\r\n\r\n", std::string(60000, 'x')});
  });
  const time_point begun_at = SteadyNow();
  peer.Call(std::string(kLargeUpload, 'u'));
  CHECK(SteadyNow() - begun_at < kSoon);
  CHECK(peer.result->outcome == http_outcome::kMalformed);
}

TEST_CASE("bytes without end behind an answer close the connection",
          "[http][endless]") {
  faulty_peer peer;
  const milliseconds pause = GENERATE(milliseconds(0), milliseconds(100));
  endless_writer writer(peer.loop);
  event_loop::handle_ptr begin;
  peer.upstream.SetHandler([&](const received_request& request) {
    request.write("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
    begin = peer.loop.After(pause, [&writer, request] {
      writer.Repeat(request, std::string(60000, 'x'));
    });
  });
  peer.Call();
  CHECK(peer.result->outcome == http_outcome::kComplete);
  peer.Await([&] { return writer.AllClosed(); });
  CHECK(writer.AllClosed());
}

}  // namespace skylarkcroft
