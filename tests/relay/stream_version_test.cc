#include <catch2/catch.hpp>
#include <string>

#include "tests/relay/relay_fixture.h"

namespace skylarkcroft {
namespace {

using received_request = scripted_upstream::received_request;

bool Contains(const std::string& text, const std::string& part) {
  return text.find(part) != std::string::npos;
}

/// A relay with an upstream of each of two software versions.
class two_versions : public relay_fixture {
 public:
  two_versions() {
    upstream_entry older = Entry("one", first_upstream);
    older.version = "v1";
    upstream_entry newer = Entry("two", second_upstream);
    newer.version = "v2";
    balancer.Reset({older, newer}, SteadyNow());
  }
};

}  // namespace

// Guards against text joined from two software versions in one answer.
TEST_CASE("A broken stream does not go on at another software version",
          "[relay][stream][resume][versions][regression]") {
  two_versions relay;
  relay.SetHandler([&](const received_request& request) {
    if (relay.RequestCount() == 1) {
      // No upstream of its version is left.
      (relay.first_upstream.requests.empty() ? relay.second_upstream
                                             : relay.first_upstream)
          .StopListening();
      request.write(two_versions::StreamHead(request) +
                    two_versions::EventChunk(1));
      request.close();
      return;
    }
    request.write(two_versions::StreamHead(request) +
                  two_versions::EventChunk(2) + "0\r\n\r\n");
  });
  raw_client client(relay.loop, relay.server.address());
  client.Send(two_versions::Request("/resume/", "r1"));
  REQUIRE(relay.Await([&] { return !relay.records.empty(); }));
  CHECK(relay.RequestCount() == 1);
  CHECK_FALSE(Contains(client.received, "id: 2"));
  CHECK_FALSE(Contains(client.received, "\r\n0\r\n\r\n"));
}

// Guards against text joined from two software versions over two requests: the
// node that gets the second has never known the stream.
TEST_CASE("A stream of an unknown version is not taken up",
          "[relay][stream][resume][versions][regression]") {
  two_versions relay;
  relay.SetHandler([](const received_request& request) {
    request.write(two_versions::StreamHead(request) +
                  two_versions::EventChunk(2) + "0\r\n\r\n");
  });
  const std::string names = GENERATE(as<std::string>{}, "Resumes: r1\r\n", "");
  raw_client client(relay.loop, relay.server.address());
  client.Send(
      two_versions::Request("/resume/", "r2", names + "Last-Event-Id: 1\r\n"));
  REQUIRE(relay.Await([&] { return !relay.records.empty(); }));
  CHECK(relay.RequestCount() == 0);
  CHECK(relay.records.front().status == 503);
}

TEST_CASE("A broken stream goes on at another upstream of its version",
          "[relay][stream][resume][versions]") {
  two_versions relay;
  scripted_upstream third(relay.loop);
  upstream_entry same = two_versions::Entry("three", third);
  upstream_entry entry = two_versions::Entry("one", relay.first_upstream);
  same.version = entry.version = "v1";
  upstream_entry other = two_versions::Entry("two", relay.second_upstream);
  other.version = "v2";
  other.is_draining = true;
  // The stream begins at one of two upstreams of v1, then v2 is there as well.
  relay.balancer.Reset({entry, same, other}, SteadyNow());
  const auto handle = [&](const received_request& request) {
    const bool goes_on = request.head.headers.Has("Last-Event-Id");
    request.write(two_versions::StreamHead(request) +
                  two_versions::EventChunk(goes_on ? 2 : 1));
    if (goes_on) {
      request.write("0\r\n\r\n");
      return;
    }
    other.is_draining = false;
    relay.balancer.Put(other, SteadyNow());
    request.close();
  };
  relay.SetHandler(handle);
  third.SetHandler(handle);
  raw_client client(relay.loop, relay.server.address());
  client.Send(two_versions::Request("/resume/", "r1"));
  REQUIRE(
      relay.Await([&] { return Contains(client.received, "\r\n0\r\n\r\n"); }));
  CHECK(Contains(client.received, "id: 2"));
  CHECK(relay.second_upstream.requests.empty());
}

}  // namespace skylarkcroft
