#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <string>

#include "tests/node/node_fixture.h"
#include "tests/node/scripted_node.h"

namespace skylarkcroft {
namespace {

using received_request = scripted_upstream::received_request;
using Catch::Matchers::Contains;

std::string WholeAnswer(const received_request& request,
                        const std::string& extra_headers) {
  return "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n" +
         extra_headers + "\r\n" + scripted_node::Token(request, 1) +
         "data: [DONE]\n\n";
}

}  // namespace

// Guards against requests to an engine that has told in its responses that it
// leaves, while its load reports do not say so.
TEST_CASE("an engine that tells that it leaves gets no further request",
          "[node][leaving]") {
  scripted_node node([](const received_request& request) {
    request.write(WholeAnswer(request, "Server-Leaving: 1\r\n"));
    request.close();
  });
  CHECK_THAT(node.Ask(true).body, Contains("[DONE]"));
  CHECK(node.tries == 1);
  CHECK(node.Ask(true).status == 503);
  CHECK(node.tries == 1);
}

// Guards against requests within the time for which an engine has asked to be
// left alone.
TEST_CASE("an engine that asks for a pause gets no request until its end",
          "[node][pause]") {
  bool full = true;
  scripted_node node([&](const received_request& request) {
    if (full) {
      request.write(
          "HTTP/1.1 503 Full\r\nRetry-After: 1.5\r\nContent-Length: 0\r\n\r\n");
      return;
    }
    request.write(WholeAnswer(request, ""));
    request.close();
  });
  const time_point asked_at = SteadyNow();
  std::optional<time_point> first_try_at;
  const auto watch = node.fixture.loop.Every(milliseconds(2), [&] {
    if (node.tries >= 1 && !first_try_at.has_value()) {
      first_try_at = SteadyNow();
      full = false;
    }
  });
  // The request waits for the end of the pause, within its time.
  CHECK_THAT(node.Ask(true).body, Contains("[DONE]"));
  CHECK(node.tries == 2);
  CHECK(SteadyNow() - asked_at >= milliseconds(1500));
}

}  // namespace skylarkcroft
