#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "skylarkcroft/attempt/skylarkcroft_sse_parser.h"
#include "standins/engine/completion_text.h"
#include "tests/node/node_fixture.h"
#include "tests/node/scripted_node.h"

namespace skylarkcroft {
namespace {

constexpr size_t kEventBound = 1 << 20;
constexpr int kTokens = 300;
const std::string kPrompt = "a long answer";

struct stream_part {
  std::string request_id;
  std::string text;
  int64_t last_offset = 0;
  bool done = false;
  std::string continue_at;
};

stream_part ReadPart(const http_response& reply) {
  stream_part part;
  part.request_id = reply.headers.Get("X-Request-Id");
  sse_parser parser(kEventBound, [&](const sse_event& event) {
    if (event.data == "[DONE]") {
      part.done = true;
      return;
    }
    const nlohmann::json data = nlohmann::json::parse(event.data);
    if (event.event == "error") {
      part.continue_at = data.value("continue_at", "");
      return;
    }
    if (data.at("choices").empty()) {
      return;
    }
    part.last_offset = std::stoll(event.id);
    part.text += data.at("choices").at(0).at("text").get<std::string>();
  });
  parser.Feed(reply.body);
  return part;
}

http_request ReadRest(const std::string& path, int64_t after) {
  http_request request;
  request.target = path;
  request.headers.Add("Authorization", std::string("Bearer ") + kTestKey);
  request.headers.Add("Last-Event-ID", std::to_string(after));
  return request;
}

// Nodes that know each other, with a short time for leaving.
struct leaving_fixture : node_fixture {
  explicit leaving_fixture(size_t node_count) : node_fixture(0) {
    shutdown.limit = milliseconds(600);
    for (size_t index = 0; index < node_count; ++index) {
      AddNode();
    }
    if (node_count == 0) {
      return;
    }
    PutTables();
    REQUIRE(Until([&] { return AllKnown(); }));
  }

  // Replaces the routes and waits until every node uses them.
  void PutRoutes(const nlohmann::json& routes, int64_t revision) {
    REQUIRE(Put("routes", routes).status == 200);
    REQUIRE(Until([&] {
      return std::all_of(nodes.begin(), nodes.end(), [&](const auto& one) {
        return RevisionOf(*one) == revision;
      });
    }));
  }

  bool AllKnown() {
    for (const auto& one : nodes) {
      const nlohmann::json status = nlohmann::json::parse(
          Get(one->operators_address(), "/operators/status").body);
      if (status.at("members").size() + 1 < nodes.size()) {
        return false;
      }
    }
    return true;
  }

  // Starts a long stream through `entry`; it has begun on return.
  void StartStream(const node& entry) {
    call = client.Send(entry.callers_address(),
                       node_fixture::Completion(kPrompt, kTokens, true), {},
                       {[this](int, const http_headers&) { begun = true; },
                        {},
                        [this](const http_result& result) { ended = result; }});
    REQUIRE(Until([&] { return begun; }));
  }

  bool begun = false;
  std::optional<http_result> ended;
  http_call_ptr call;
};

std::string WholeText() {
  return standin::CompletionText("m", kPrompt, 1, kTokens);
}

TEST_CASE("any node gives the rest of an answer that another node has",
          "[node][resume]") {
  leaving_fixture fixture(3);
  fixture.StartStream(*fixture.nodes[0]);
  REQUIRE(fixture.Until([&] { return fixture.ended.has_value(); }));
  const stream_part first = ReadPart(fixture.ended->response);
  REQUIRE(first.done);
  const stream_part rest = ReadPart(fixture.Call(
      fixture.nodes[2]->callers_address(),
      ReadRest("/v1/requests/" + first.request_id + "/stream", 290)));
  CHECK(rest.done);
  CHECK(rest.text == standin::CompletionText("m", kPrompt, 291, kTokens));
}

TEST_CASE("what a leaving node cannot finish goes on at another, whole",
          "[node][handover]") {
  leaving_fixture fixture(2);
  fixture.StartStream(*fixture.nodes[0]);
  fixture.nodes[0]->Shutdown();
  REQUIRE(fixture.Until([&] { return fixture.ended.has_value(); }));
  const stream_part first = ReadPart(fixture.ended->response);
  CHECK_FALSE(first.done);
  REQUIRE(first.last_offset > 0);
  REQUIRE_FALSE(first.continue_at.empty());
  fixture.nodes.erase(fixture.nodes.begin());
  const stream_part rest =
      ReadPart(fixture.Call(fixture.nodes[0]->callers_address(),
                            ReadRest(first.continue_at, first.last_offset)));
  CHECK(rest.done);
  CHECK(first.text + rest.text == WholeText());
}

// Guards against a caller that is sent to a node which did not adopt its
// request.
TEST_CASE("a request that the other node does not adopt goes on here",
          "[node][handover]") {
  leaving_fixture fixture(0);
  // The hand-over comes at half of it, within both streams.
  fixture.shutdown.limit = milliseconds(1000);
  fixture.AddNode();
  fixture.AddNode();
  fixture.PutTables();
  REQUIRE(fixture.Until([&] { return fixture.AllKnown(); }));
  nlohmann::json routes = fixture.RoutesDocument();
  nlohmann::json removed = routes["routes"][0];
  removed["name"] = "removed";
  removed["models"] = {"removed"};
  nlohmann::json both = routes;
  both["routes"].insert(both["routes"].begin(), removed);
  fixture.PutRoutes(both, 3);
  std::string unknown_text;
  std::optional<http_result> unknown_ended;
  http_request unknown = node_fixture::Completion(kPrompt, kTokens, true);
  nlohmann::json body = nlohmann::json::parse(unknown.body);
  body["model"] = "removed";
  unknown.body = body.dump();
  const http_call_ptr unknown_call = fixture.client.Send(
      fixture.nodes[0]->callers_address(), unknown, {},
      {{},
       [&](std::string_view data) { unknown_text += data; },
       [&](const http_result& result) { unknown_ended = result; }});
  REQUIRE(fixture.Until([&] { return !unknown_text.empty(); }));
  fixture.PutRoutes(routes, 4);
  fixture.StartStream(*fixture.nodes[0]);
  fixture.nodes[0]->Shutdown();
  REQUIRE(fixture.Until([&] { return fixture.ended.has_value(); }));
  REQUIRE(fixture.Until([&] { return unknown_ended.has_value(); }));
  CHECK_THAT(unknown_text, !Catch::Matchers::Contains("continue_at"));
  CHECK_THAT(unknown_text, Catch::Matchers::Contains("[DONE]"));
  const stream_part first = ReadPart(fixture.ended->response);
  REQUIRE_FALSE(first.continue_at.empty());
  const stream_part rest =
      ReadPart(fixture.Call(fixture.nodes[1]->callers_address(),
                            ReadRest(first.continue_at, first.last_offset)));
  CHECK(rest.done);
  CHECK(first.text + rest.text == WholeText());
}

// Listens at an address and neither reads nor answers.
class silent_listener {
 public:
  explicit silent_listener(const endpoint& at)
      : fd_(socket(AF_INET, SOCK_STREAM, 0)) {
    const int on = 1;
    setsockopt(fd_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    sockaddr_in raw{};
    raw.sin_family = AF_INET;
    raw.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    raw.sin_port = htons(at.port);
    REQUIRE(bind(fd_, reinterpret_cast<sockaddr*>(&raw), sizeof raw) == 0);
    REQUIRE(listen(fd_, SOMAXCONN) == 0);
  }
  ~silent_listener() { close(fd_); }
  silent_listener(const silent_listener&) = delete;
  silent_listener& operator=(const silent_listener&) = delete;

 private:
  int fd_;
};

// Guards against a try that ends for a hand-over which nobody takes.
TEST_CASE("a hand-over that no node takes leaves the try as it is",
          "[node][handover]") {
  // Parts of an answer come every 0.6 s for 3 s, the hand-over at 2.05 s.
  constexpr milliseconds kPartPeriod{600};
  constexpr int kParts = 5;
  std::vector<event_loop::handle_ptr> timers;
  event_loop* loop = nullptr;
  scripted_node node(
      [&](const scripted_upstream::received_request& request) {
        request.write(scripted_node::Head() + scripted_node::Token(request, 1));
        for (int part = 1; part < kParts; ++part) {
          timers.push_back(loop->After(kPartPeriod * part, [=] {
            request.write(scripted_node::Token(request, part + 1));
          }));
        }
        timers.push_back(loop->After(kPartPeriod * kParts, [request] {
          request.write("data: [DONE]\n\n");
          request.close();
        }));
      },
      {milliseconds(50), milliseconds(4000)});
  loop = &node.fixture.loop;
  const bool asked_in_vain = GENERATE(false, true);
  std::unique_ptr<silent_listener> silent;
  if (asked_in_vain) {
    const endpoint operators = node.fixture.AddNode().operators_address();
    REQUIRE(node.fixture.Until([&] {
      const nlohmann::json status = nlohmann::json::parse(
          node.fixture
              .Get(node.fixture.nodes[0]->operators_address(),
                   "/operators/status")
              .body);
      return status.at("members").size() == 1;
    }));
    node.fixture.nodes.pop_back();
    silent = std::make_unique<silent_listener>(operators);
  }
  std::string text;
  std::optional<http_result> ended;
  const http_call_ptr call = node.fixture.client.Send(
      node.fixture.nodes[0]->callers_address(),
      node_fixture::Completion("p", kParts, true), {},
      {{},
       [&](std::string_view data) { text += data; },
       [&](const http_result& result) { ended = result; }});
  REQUIRE(node.fixture.Until([&] { return !text.empty(); }));
  node.fixture.nodes[0]->Shutdown();
  REQUIRE(node.fixture.Until([&] { return ended.has_value(); }));
  CHECK(node.tries == 1);
  CHECK_THAT(text, Catch::Matchers::Contains("[DONE]"));
  http_response whole;
  whole.body = text;
  CHECK(ReadPart(whole).last_offset == kParts);
}

TEST_CASE("an answer is found after two nodes have left in turn",
          "[node][handover]") {
  leaving_fixture fixture(3);
  fixture.StartStream(*fixture.nodes[0]);
  // The second can only be the successor once it is the one that is left.
  fixture.nodes[2]->Shutdown();
  fixture.nodes[0]->Shutdown();
  REQUIRE(fixture.Until([&] { return fixture.ended.has_value(); }));
  const stream_part first = ReadPart(fixture.ended->response);
  REQUIRE_FALSE(first.continue_at.empty());
  const stream_part rest =
      ReadPart(fixture.Call(fixture.nodes[0]->callers_address(),
                            ReadRest(first.continue_at, first.last_offset)));
  CHECK(rest.done);
  CHECK(first.text + rest.text == WholeText());
}

TEST_CASE("a node with no other to turn to finishes by itself as far as it can",
          "[node][handover]") {
  leaving_fixture fixture(1);
  fixture.StartStream(*fixture.nodes[0]);
  fixture.nodes[0]->Shutdown();
  REQUIRE(fixture.Until([&] { return fixture.ended.has_value(); }));
  const stream_part first = ReadPart(fixture.ended->response);
  CHECK(first.continue_at.empty());
  CHECK(first.text == WholeText().substr(0, first.text.size()));
}

TEST_CASE("a handover without a valid signature is refused",
          "[node][handover][hostile]") {
  leaving_fixture fixture(1);
  http_request forged;
  forged.method = "POST";
  forged.target = "/peer/handover";
  forged.body = "[]";
  CHECK(fixture.Call(fixture.nodes[0]->operators_address(), forged).status ==
        401);
}

}  // namespace
}  // namespace skylarkcroft
