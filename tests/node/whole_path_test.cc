#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "skylarkcroft/attempt/skylarkcroft_sse_parser.h"
#include "standins/engine/completion_text.h"
#include "tests/node/node_fixture.h"

namespace skylarkcroft {
namespace {

constexpr size_t kEventBound = 1 << 20;

std::string ExpectedText(const std::string& prompt, int64_t first,
                         int64_t last) {
  return standin::CompletionText("m", prompt, first, last);
}

struct streamed_answer {
  std::string text;
  std::vector<std::string> ids;
  bool done = false;
};

streamed_answer ReadStream(const std::string& body) {
  streamed_answer answer;
  sse_parser parser(kEventBound, [&](const sse_event& event) {
    if (event.data == "[DONE]") {
      answer.done = true;
      return;
    }
    const nlohmann::json data = nlohmann::json::parse(event.data);
    if (data.at("choices").empty()) {
      return;
    }
    answer.ids.push_back(event.id);
    answer.text += data.at("choices").at(0).at("text").get<std::string>();
  });
  parser.Feed(body);
  return answer;
}

TEST_CASE("a streamed request goes through a node to an engine and back",
          "[node][whole-path]") {
  node_fixture fixture;
  fixture.PutTables();
  const http_response reply =
      fixture.Call(fixture.nodes[0]->callers_address(),
                   node_fixture::Completion("where is stop nine", 8, true));
  CHECK(reply.status == 200);
  CHECK(reply.headers.Get("Content-Type") == "text/event-stream");
  CHECK_FALSE(reply.headers.Get("X-Request-Id").empty());
  const streamed_answer answer = ReadStream(reply.body);
  CHECK(answer.done);
  CHECK(answer.ids.size() == 8);
  CHECK(answer.text == ExpectedText("where is stop nine", 1, 8));
}

TEST_CASE("an unstreamed request gets one document with the whole text",
          "[node][whole-path]") {
  node_fixture fixture;
  fixture.PutTables();
  const http_response reply =
      fixture.Call(fixture.nodes[0]->callers_address(),
                   node_fixture::Completion("summarise", 5, false));
  CHECK(reply.status == 200);
  const nlohmann::json document = nlohmann::json::parse(reply.body);
  CHECK(document.at("choices").at(0).at("text") ==
        ExpectedText("summarise", 1, 5));
  CHECK(document.at("usage").at("completion_tokens") == 5);
  CHECK(document.at("id") == reply.headers.Get("X-Request-Id"));
}

TEST_CASE("an answer can be read again from an offset", "[node][resume]") {
  node_fixture fixture;
  fixture.PutTables();
  const endpoint& address = fixture.nodes[0]->callers_address();
  const http_response first =
      fixture.Call(address, node_fixture::Completion("again", 6, true));
  http_request again;
  again.target =
      "/v1/requests/" + first.headers.Get("X-Request-Id") + "/stream";
  again.headers.Add("Authorization", std::string("Bearer ") + kTestKey);
  again.headers.Add("Last-Event-ID", "4");
  const streamed_answer answer = ReadStream(fixture.Call(address, again).body);
  CHECK(answer.done);
  CHECK(answer.ids == std::vector<std::string>{"5", "6"});
  CHECK(answer.text == ExpectedText("again", 5, 6));
}

TEST_CASE("a request without a known key or route is refused as not run",
          "[node][refusal]") {
  node_fixture fixture;
  fixture.PutTables();
  const endpoint& address = fixture.nodes[0]->callers_address();
  http_request request = node_fixture::Completion("x", 1, false);
  int status = 0;
  std::string reason;
  SECTION("unknown key") {
    request.headers = {{"Authorization", "Bearer other"}};
    status = 401;
    reason = "unauthenticated";
  }
  SECTION("no route") {
    request.target = "/elsewhere";
    status = 404;
    reason = "no_route";
  }
  SECTION("bad body") {
    request.body = "{";
    status = 400;
    reason = "bad_request";
  }
  const http_response reply = fixture.Call(address, request);
  CHECK(reply.status == status);
  const nlohmann::json problem = nlohmann::json::parse(reply.body);
  CHECK(problem.at("reason") == reason);
  CHECK(problem.at("run_state") == "not_run");
}

TEST_CASE("an edit that does not validate or lost a race changes nothing",
          "[node][tables]") {
  node_fixture fixture(2);
  fixture.PutTables();
  nlohmann::json broken = fixture.RoutesDocument();
  broken["routes"][0]["pool"] = "nowhere";
  CHECK(fixture.Put("routes", broken).status == 422);
  http_request stale;
  stale.method = "PUT";
  stale.target = "/operators/routes";
  stale.headers.Add("If-Match", "1");
  stale.body = fixture.RoutesDocument().dump();
  const http_response reply =
      fixture.Call(fixture.nodes[1]->operators_address(), stale);
  CHECK(reply.status == 409);
  CHECK(nlohmann::json::parse(reply.body).at("revision") == 2);
  CHECK(fixture.RevisionOf(*fixture.nodes[0]) == 2);
}

TEST_CASE("a shutdown cuts off no answer and fails readiness first",
          "[node][shutdown]") {
  node_fixture fixture;
  fixture.PutTables();
  const endpoint address = fixture.nodes[0]->callers_address();
  std::optional<http_result> ended;
  bool begun = false;
  const http_call_ptr call = fixture.client.Send(
      address, node_fixture::Completion("long", 60, true), {},
      {[&](int, const http_headers&) { begun = true; },
       {},
       [&](const http_result& result) { ended = result; }});
  REQUIRE(fixture.Until([&] { return begun; }));
  fixture.nodes[0]->Shutdown();
  CHECK(fixture.Get(address, "/readyz").status == 503);
  REQUIRE(fixture.Until([&] { return ended.has_value(); }));
  const streamed_answer answer = ReadStream(ended->response.body);
  CHECK(answer.done);
  CHECK(answer.text == ExpectedText("long", 1, 60));
}

}  // namespace
}  // namespace skylarkcroft
