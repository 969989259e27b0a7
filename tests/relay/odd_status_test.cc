#include <catch2/catch.hpp>
#include <string>

#include "tests/relay/relay_fixture.h"

namespace skylarkcroft {
namespace {

using received_request = scripted_upstream::received_request;
using fixture = relay_fixture;
using Catch::Matchers::Contains;

}  // namespace

// Guards against bytes with an impossible status that the client gets as an
// answer.
TEST_CASE("A status that HTTP does not know is no answer",
          "[relay][odd_status][regression]") {
  fixture relay;
  const std::string status = GENERATE(as<std::string>{}, "000", "001", "42",
                                      "099", "600", "999", "1000", "-1");
  const std::string path =
      GENERATE(as<std::string>{}, "/once/", "/safe/", "/stream/");
  const bool has_length = GENERATE(true, false);
  relay.SetHandler([&](const received_request& request) {
    request.write("HTTP/1.1 " + status + " Odd\r\nX-Id: r1\r\nX-Sig: s\r\n" +
                  (has_length ? "Content-Length: 4\r\n" : "") + "\r\nodd!");
    request.close();
  });
  raw_client client(relay.loop, relay.server.address());
  client.Send(fixture::Request(path, "r1"));
  REQUIRE(relay.Await([&] { return !client.received.empty(); }));
  CHECK_THAT(client.received, Catch::Matchers::StartsWith("HTTP/1.1 502"));
  CHECK_THAT(client.received, !Contains("odd!"));
}

}  // namespace skylarkcroft
