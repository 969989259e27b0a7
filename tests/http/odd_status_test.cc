#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "tests/http/faulty_peer.h"

namespace skylarkcroft {
namespace {

using received_request = scripted_upstream::received_request;

}  // namespace

// Guards against bytes with an impossible status, or an interim response, that
// are taken for an answer.
TEST_CASE("a status that ends no exchange is no answer",
          "[http][odd_status][regression]") {
  faulty_peer peer;
  const std::string status =
      GENERATE(as<std::string>{}, "000", "-1", "42", "099", "101", "103", "600",
               "999", "1000");
  peer.upstream.SetHandler([&](const received_request& request) {
    request.write("HTTP/1.1 " + status +
                  " Odd\r\nContent-Length: 4\r\n\r\nodd!");
    request.close();
  });
  peer.Call();
  CHECK(peer.result->outcome == http_outcome::kMalformed);
  CHECK(peer.statuses.empty());
}

TEST_CASE("an answer behind an interim one is read", "[http]") {
  faulty_peer peer;
  peer.upstream.SetHandler([&](const received_request& request) {
    request.write(
        "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n"
        "Content-Length: 2\r\n\r\nok");
  });
  peer.Call();
  REQUIRE(peer.result->outcome == http_outcome::kComplete);
  CHECK(peer.result->response.body == "ok");
  CHECK(peer.statuses == std::vector<int>{200});
}

}  // namespace skylarkcroft
