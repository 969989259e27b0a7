#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "tests/http/faulty_peer.h"

namespace skylarkcroft {
namespace {

using received_request = scripted_upstream::received_request;

// More than the systems take for the peer before it reads.
constexpr size_t kLargeUpload = 16000000;

}  // namespace

// Guards against a part of an answer that is taken for a whole one, because its
// peer ended it while the request was still being written.
TEST_CASE("an answer that ends before its peer has the request tells so",
          "[http][early_answer][regression]") {
  faulty_peer peer;
  const bool resets = GENERATE(true, false);
  std::vector<event_loop::handle_ptr> timers;
  peer.upstream.SetHeadHandler([&](const received_request& request) {
    request.stop_reading();
    request.write("HTTP/1.1 200 OK\r\n\r\npart");
    timers.push_back(peer.loop.After(milliseconds(20),
                                     resets ? request.reset : request.finish));
    timers.push_back(peer.loop.After(milliseconds(300), request.reset));
  });
  // Less than the client's system takes at once, so that evhttp has written it.
  peer.Call(std::string(GENERATE(2000000, kLargeUpload), 'u'));
  const bool is_short = peer.result->outcome != http_outcome::kComplete ||
                        peer.result->request_undelivered;
  CHECK(is_short);
}

TEST_CASE("a peer that has the whole request has it when it answers",
          "[http][early_answer]") {
  faulty_peer peer;
  peer.upstream.SetHandler([&](const received_request& request) {
    request.write("HTTP/1.1 200 OK\r\n\r\nwhole");
    request.close();
  });
  peer.Call(std::string(GENERATE(2, 2000000), 'u'));
  CHECK(peer.result->outcome == http_outcome::kComplete);
  CHECK_FALSE(peer.result->request_undelivered);
}

}  // namespace skylarkcroft
