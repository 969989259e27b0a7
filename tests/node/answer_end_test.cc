#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <string>

#include "tests/node/node_fixture.h"
#include "tests/relay/scripted_upstream.h"

// The node's half of the table in docs/answer-ends.md, from an upstream to its
// caller.

namespace skylarkcroft {
namespace {

using received_request = scripted_upstream::received_request;
using Catch::Matchers::Contains;

/// A node with one engine whose answers the test writes.
class scripted_node {
 public:
  explicit scripted_node(scripted_upstream::handler answer) {
    engine.SetHandler([this, answer = std::move(answer)](
                          const received_request& request) {
      if (request.head.target.starts_with("/load")) {
        const std::string load = Load();
        request.write("HTTP/1.1 200 OK\r\nContent-Length: " +
                      std::to_string(load.size()) + "\r\n\r\n" + load);
        return;
      }
      if (request.head.method != "POST") {
        request.write("HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n");
        return;
      }
      ++tries;
      answer(request);
    });
    nlohmann::json pools = fixture.PoolsDocument();
    pools["pools"][0]["upstreams"] = {{{"name", "e1"},
                                       {"address", ToString(engine.address())},
                                       {"availability_zone", "cairo-a"}}};
    fixture.Put("pools", pools);
    fixture.Put("routes", fixture.RoutesDocument());
    node& first = *fixture.nodes.front();
    REQUIRE(fixture.Until([&] {
      return fixture.Get(first.callers_address(), "/readyz").status == 200 &&
             fixture.RevisionOf(first) == 2;
    }));
  }

  http_response Ask(bool stream) {
    return fixture.Call(fixture.nodes.front()->callers_address(),
                        node_fixture::Completion("p", 4, stream));
  }

  static std::string Head() {
    return "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n";
  }
  static std::string Token(const received_request& request, int number) {
    const nlohmann::json data = {
        {"id", request.head.headers.Get("X-Request-Id")},
        {"choices", {{{"text", "t"}, {"finish_reason", nullptr}}}}};
    return "id: " + std::to_string(number) + "\ndata: " + data.dump() + "\n\n";
  }

  node_fixture fixture{1, 0};
  scripted_upstream engine{fixture.loop};
  int tries = 0;

 private:
  std::string Load() {
    return nlohmann::json({{"seq", ++sequence_},
                           {"sampled_at_ms", 0},
                           {"running", 0},
                           {"waiting", 0},
                           {"slots", 8},
                           {"kv_used_tokens", 0},
                           {"kv_capacity_tokens", 100000},
                           {"decode_tokens_per_s", 100},
                           {"prefill_tokens_per_s", 1000},
                           {"model", "m"},
                           {"version", "1"},
                           {"role", "both"},
                           {"availability_zone", "cairo-a"},
                           {"leaving", false}})
        .dump();
  }

  int sequence_ = 0;
};

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
