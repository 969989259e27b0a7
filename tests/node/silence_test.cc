#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "tests/node/scripted_node.h"

namespace skylarkcroft {
namespace {

// More than the test tables' progress_timeout_ms of 500.
constexpr milliseconds kPause{1200};

// Writes the parts of an answer with a pause of the upstream between them.
class pausing_answer {
 public:
  explicit pausing_answer(event_loop& loop) : loop_(loop) {}

  void Write(const scripted_upstream::received_request& request,
             const std::vector<std::string>& parts) {
    for (size_t index = 0; index < parts.size(); ++index) {
      timers_.push_back(
          loop_.After(kPause * static_cast<int>(index),
                      [request, part = parts[index]] { request.write(part); }));
    }
  }
  void Close(const scripted_upstream::received_request& request, size_t parts) {
    timers_.push_back(loop_.After(kPause * static_cast<int>(parts),
                                  [request] { request.close(); }));
  }

 private:
  event_loop& loop_;
  std::vector<event_loop::handle_ptr> timers_;
};

// Guards against a request that ends while its sound upstream pauses, although
// no other upstream can take it.
TEST_CASE("a pause of the only upstream does not end a stream",
          "[node][silence]") {
  std::unique_ptr<pausing_answer> answer;
  std::function<std::vector<std::string>(
      const scripted_upstream::received_request&)>
      parts;
  const auto token = [](const auto& request, int number) {
    return scripted_node::Token(request, number);
  };
  const std::string last = "data: [DONE]\n\n";
  SECTION("in the head") {
    parts = [&](const auto& request) -> std::vector<std::string> {
      return {"HTTP/1.1 200 OK\r\n", "Content-Type: text/event-stream\r\n\r\n" +
                                         token(request, 1) + last};
    };
  }
  SECTION("before the first token") {
    parts = [&](const auto& request) -> std::vector<std::string> {
      return {"", scripted_node::Head() + token(request, 1) + last};
    };
  }
  SECTION("within the stream, again and again") {
    parts = [&](const auto& request) -> std::vector<std::string> {
      return {scripted_node::Head() + token(request, 1), token(request, 2),
              token(request, 3) + last};
    };
  }
  scripted_node node([&](const scripted_upstream::received_request& request) {
    const std::vector<std::string> written = parts(request);
    answer->Write(request, written);
    answer->Close(request, written.size());
  });
  answer = std::make_unique<pausing_answer>(node.fixture.loop);
  const http_response reply = node.Ask(true);
  CHECK(reply.status == 200);
  CHECK_THAT(reply.body, Catch::Matchers::Contains("[DONE]"));
  CHECK(node.tries == 1);
}

// Guards against a request that may run only once and is given up while its
// sound service pauses.
TEST_CASE("a pause of a service does not end a request that runs only once",
          "[node][silence][at-most-once]") {
  node_fixture fixture;
  scripted_upstream service(fixture.loop);
  pausing_answer answer(fixture.loop);
  service.SetHandler([&](const scripted_upstream::received_request& request) {
    if (request.head.method == "POST") {
      answer.Write(request,
                   {"", "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone"});
    }
  });
  nlohmann::json pools = fixture.PoolsDocument();
  pools["pools"][1]["upstreams"] = {{{"name", "s1"},
                                     {"address", ToString(service.address())},
                                     {"availability_zone", "cairo-a"}}};
  fixture.Put("pools", pools);
  fixture.Put("routes", fixture.RoutesDocument());
  const endpoint& callers = fixture.nodes[0]->callers_address();
  REQUIRE(fixture.Until(
      [&] { return fixture.Get(callers, "/readyz").status == 200; }));
  const http_response reply =
      fixture.Call(callers, node_fixture::Order("k1", "a"));
  CHECK(reply.status == 200);
  CHECK(reply.body == "done");
}

// Guards against a stream that is cut because it has no try left, although
// another upstream is free.
TEST_CASE("a pause after the last try that a pool allows does not end a stream",
          "[node][silence]") {
  node_fixture fixture;
  nlohmann::json pools = fixture.PoolsDocument();
  pools["pools"][0]["retry"]["max_attempts"] = 1;
  fixture.Put("pools", pools);
  fixture.Put("routes", fixture.RoutesDocument());
  const endpoint& callers = fixture.nodes[0]->callers_address();
  REQUIRE(fixture.Until(
      [&] { return fixture.Get(callers, "/readyz").status == 200; }));
  std::string body;
  std::optional<http_result> ended;
  const http_call_ptr call = fixture.client.Send(
      callers, node_fixture::Completion("paused", 40, true), {},
      {{},
       [&](std::string_view data) { body += data; },
       [&](const http_result& result) { ended = result; }});
  REQUIRE(fixture.Until([&] { return !body.empty(); }));
  for (const auto& engine : fixture.engines) {
    fixture.SetFault(engine->address(), {{"mode", "silent"}});
  }
  fixture.loop.RunFor(kPause);
  CHECK_FALSE(ended.has_value());
}

// Guards against upstreams that hang until the deadline of each request and
// are still taken for sound.
TEST_CASE("an upstream that is silent until the deadline counts as failed",
          "[node][silence]") {
  scripted_node node([](const scripted_upstream::received_request&) {});
  nlohmann::json routes = node.fixture.RoutesDocument();
  routes["routes"][0]["deadline_ms"] = 800;
  node.fixture.Put("routes", routes);
  REQUIRE(node.fixture.Until(
      [&] { return node.fixture.RevisionOf(*node.fixture.nodes[0]) == 3; }));
  const http_response first = node.Ask(true);
  CHECK(first.status == 504);
  CHECK_THAT(first.body, Catch::Matchers::Contains("\"unknown\""));
  CHECK(node.Ask(true).status == 504);
  const endpoint& operators = node.fixture.nodes[0]->operators_address();
  CHECK(node.fixture.Until([&] {
    return node.fixture.Get(operators, "/metrics")
               .body.find("event=\"probe_") != std::string::npos;
  }));
}

}  // namespace
}  // namespace skylarkcroft
