#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <string>

#include "tests/node/node_fixture.h"
#include "tests/node/scripted_node.h"

// The node's half of the table in docs/answer-ends.md, from an upstream to its
// caller.

namespace skylarkcroft {
namespace {

using received_request = scripted_upstream::received_request;
using Catch::Matchers::Contains;

std::string Error(const std::string& status) {
  return "HTTP/1.1 " + status + "\r\nContent-Length: 7\r\n\r\nno luck";
}

}  // namespace

// Guards against an error's text, or a last event, in a stream that broke off.
TEST_CASE("an error after output ends the stream without its last event",
          "[node][answer_end][regression]") {
  const std::string status =
      GENERATE("400 Bad Request", "404 Not Found", "500 Internal Server Error",
               "503 Service Unavailable");
  scripted_node node([&](const received_request& request) {
    if (request.head.headers.Has("Last-Event-ID")) {
      request.write(Error(status));
      return;
    }
    request.write(scripted_node::Head() + scripted_node::Token(request, 1));
    request.close();
  });
  const http_response reply = node.Ask(true);
  CHECK(node.tries >= 2);
  CHECK_THAT(reply.body, Contains("id: 1") && Contains("event: error"));
  CHECK_THAT(reply.body, !Contains("[DONE]") && !Contains("no luck"));
}

// Guards against a second answer's bytes in a stream that broke off.
TEST_CASE("a body that is no stream ends the stream without its last event",
          "[node][answer_end][regression]") {
  scripted_node node([&](const received_request& request) {
    if (request.head.headers.Has("Last-Event-ID")) {
      request.write(Error("200 OK"));
      return;
    }
    request.write(scripted_node::Head() + scripted_node::Token(request, 1));
    request.close();
  });
  const http_response reply = node.Ask(true);
  CHECK_THAT(reply.body, Contains("id: 1") && Contains("event: error"));
  CHECK_THAT(reply.body, !Contains("[DONE]") && !Contains("no luck"));
}

// Guards against a 200 with a short text after an engine's error.
TEST_CASE("an error after output is an error of an unstreamed completion",
          "[node][answer_end][regression]") {
  scripted_node node([&](const received_request& request) {
    if (request.head.headers.Has("Last-Event-ID")) {
      request.write(Error("404 Not Found"));
      return;
    }
    request.write(scripted_node::Head() + scripted_node::Token(request, 1));
    request.close();
  });
  CHECK(node.Ask(false).status == 502);
}

// Guards against an empty 200 for a request that its engine has rejected.
TEST_CASE("an engine's rejection reaches the caller as it is",
          "[node][answer_end][regression]") {
  const bool stream = GENERATE(false, true);
  scripted_node node([&](const received_request& request) {
    request.write(Error("400 Bad Request"));
  });
  const http_response reply = node.Ask(stream);
  CHECK(reply.status == 400);
  CHECK(reply.body == "no luck");
}

// Guards against a last event in a stream that broke off in its head, in an
// event or between two.
TEST_CASE("a stream broken off at each try ends without its last event",
          "[node][answer_end][regression]") {
  const size_t cut = GENERATE(10U, 50U, 66U, 90U, 400U);
  scripted_node node([&](const received_request& request) {
    const std::string text = scripted_node::Head() +
                             scripted_node::Token(request, 1) +
                             scripted_node::Token(request, 2);
    request.write(text.substr(0, std::min(cut, text.size())));
    request.close();
  });
  const http_response reply = node.Ask(true);
  CHECK_THAT(reply.body, !Contains("[DONE]"));
  CHECK((reply.status != 200 || Contains("event: error").match(reply.body)));
}

}  // namespace skylarkcroft
