#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "skylarkcroft/attempt/skylarkcroft_buffered_response.h"
#include "skylarkcroft/attempt/skylarkcroft_sse_parser.h"
#include "skylarkcroft/node/skylarkcroft_answer_writer.h"
#include "standins/engine/completion_text.h"
#include "tests/node/node_fixture.h"

namespace skylarkcroft {
namespace {

constexpr size_t kEventBound = 1 << 20;

struct read_stream {
  std::string text;
  std::vector<std::string> ids;
  bool done = false;
};

read_stream Read(const std::string& body) {
  read_stream stream;
  sse_parser parser(kEventBound, [&](const sse_event& event) {
    stream.done = stream.done || event.data == "[DONE]";
    if (event.id.empty()) {
      return;
    }
    stream.ids.push_back(event.id);
    stream.text += nlohmann::json::parse(event.data)
                       .at("choices")
                       .at(0)
                       .at("text")
                       .get<std::string>();
  });
  parser.Feed(body);
  return stream;
}

void CheckWhole(const std::string& body, const std::string& prompt,
                int64_t tokens) {
  const read_stream stream = Read(body);
  CHECK(stream.done);
  CHECK(stream.text == standin::CompletionText("m", prompt, 1, tokens));
  std::vector<std::string> ids;
  for (int64_t number = 1; number <= tokens; ++number) {
    ids.push_back(std::to_string(number));
  }
  CHECK(stream.ids == ids);
}

std::string Metrics(node_fixture& fixture) {
  return fixture.Get(fixture.nodes[0]->operators_address(), "/metrics").body;
}

bool Counted(node_fixture& fixture, const std::string& series) {
  return Metrics(fixture).find(series) != std::string::npos;
}

// Upstreams that the first node knows to be leaving.
int64_t Leaving(node_fixture& fixture) {
  const http_response reply =
      fixture.Get(fixture.nodes[0]->operators_address(), "/operators/status");
  const nlohmann::json status = nlohmann::json::parse(reply.body);
  int64_t leaving = 0;
  for (const nlohmann::json& pool : status.at("pools")) {
    for (const nlohmann::json& upstream : pool.at("upstreams")) {
      leaving += upstream.at("state") == "leaving" ? 1 : 0;
    }
  }
  return leaving;
}

TEST_CASE("a stream that goes silent is resumed elsewhere, whole",
          "[node][resume][silent]") {
  node_fixture fixture;
  fixture.PutTables();
  std::string body;
  std::optional<http_result> ended;
  const http_call_ptr call =
      fixture.client.Send(fixture.nodes[0]->callers_address(),
                          node_fixture::Completion("silent", 40, true), {},
                          {{},
                           [&](std::string_view data) { body += data; },
                           [&](const http_result& result) { ended = result; }});
  REQUIRE(fixture.Until([&] { return Read(body).ids.size() >= 3; }));
  for (const auto& engine : fixture.engines) {
    fixture.SetFault(engine->address(), {{"mode", "silent"}});
  }
  REQUIRE(fixture.Until([&] { return ended.has_value(); }));
  CheckWhole(body, "silent", 40);
  CHECK(Counted(fixture, "skylarkcroft_run_events_total{event=\"resumed\"} 1"));
  CHECK(Counted(fixture, "skylarkcroft_retries_total{reason=\"timed_out\"} 1"));
}

TEST_CASE("a stream that breaks is resumed elsewhere, whole",
          "[node][resume]") {
  node_fixture fixture;
  fixture.PutTables();
  for (const auto& engine : fixture.engines) {
    fixture.SetFault(engine->address(),
                     {{"mode", "break_after"}, {"tokens", 7}, {"count", 1}});
  }
  const http_response reply =
      fixture.Call(fixture.nodes[0]->callers_address(),
                   node_fixture::Completion("broken", 40, true));
  CheckWhole(reply.body, "broken", 40);
  CHECK(Counted(fixture, "skylarkcroft_run_events_total{event=\"resumed\"} 2"));
}

TEST_CASE("one engine that refuses or fails costs callers no answer",
          "[node][retry]") {
  node_fixture fixture;
  fixture.PutTables();
  const auto mode = GENERATE(as<std::string>{}, "refuse", "error");
  fixture.SetFault(fixture.engines[0]->address(), {{"mode", mode}});
  for (int number = 0; number < 8; ++number) {
    const std::string prompt = mode + " " + std::to_string(number);
    const http_response reply =
        fixture.Call(fixture.nodes[0]->callers_address(),
                     node_fixture::Completion(prompt, 4, true));
    CheckWhole(reply.body, prompt, 4);
  }
}

TEST_CASE("with every engine failing, tries stay near the requests",
          "[node][retry]") {
  node_fixture fixture;
  fixture.PutTables();
  for (const auto& engine : fixture.engines) {
    fixture.SetFault(engine->address(), {{"mode", "error"}});
  }
  constexpr int kRequests = 60;
  int64_t failed = 0;
  for (int number = 0; number < kRequests; ++number) {
    const http_response reply =
        fixture.Call(fixture.nodes[0]->callers_address(),
                     node_fixture::Completion("storm", 4, false));
    failed += reply.status == 502 ? 1 : 0;
  }
  CHECK(failed == kRequests);
  int64_t tries = 0;
  for (const auto& engine : fixture.engines) {
    tries += engine->stats().requests;
  }
  // The budget is a tenth of the requests and a reserve of 10.
  CHECK(tries <= kRequests + kRequests / 10 + 10);
  CHECK(Counted(fixture,
                "skylarkcroft_run_events_total{event=\"budget_used_up\"}"));
}

TEST_CASE("a pool whose upstreams all leave refuses early, as not run",
          "[node][no-upstream]") {
  node_fixture fixture;
  fixture.PutTables();
  for (const auto& engine : fixture.engines) {
    http_request leave;
    leave.method = "POST";
    leave.target = "/admin/leave";
    leave.body = R"({"notice_ms":60000})";
    static_cast<void>(fixture.Call(engine->address(), leave));
  }
  REQUIRE(fixture.Until([&] { return Leaving(fixture) == 2; }));
  const http_response reply =
      fixture.Call(fixture.nodes[0]->callers_address(),
                   node_fixture::Completion("nobody", 4, false));
  CHECK(reply.status == 503);
  CHECK_FALSE(reply.headers.Get("Retry-After").empty());
  const nlohmann::json problem = nlohmann::json::parse(reply.body);
  CHECK(problem.at("reason") == "no_upstream");
  CHECK(problem.at("run_state") == "not_run");
}

TEST_CASE("a caller that stops reading is cut off and can read on by id",
          "[node][silent]") {
  const std::string word(4096, 'w');
  auto source = std::make_shared<buffered_response>();
  source->BeginStreaming();

  class stuck_exchange final : public http_exchange {
   public:
    const http_request& request() const override { return request_; }
    void Reply(const http_response&) override {}
    void Start(int, const http_headers&) override {}
    void Write(std::string_view data) override { pending += data.size(); }
    void End() override {}
    void Abort() override { aborted = true; }
    bool closed() const override { return aborted; }
    size_t pending_bytes() const override { return pending; }
    void OnPeerGone(std::function<void()>) override {}

    size_t pending = 0;
    bool aborted = false;

   private:
    http_request request_;
  };

  const auto exchange = std::make_shared<stuck_exchange>();
  answer_form form;
  form.what = answer_form::kind::kEventStream;
  std::optional<bool> delivered;
  answer_writer writer(source, exchange, form,
                       [&](bool whole) { delivered = whole; });
  writer.Start();
  for (int number = 0; number < 200; ++number) {
    source->AppendToken(word);
  }
  CHECK(exchange->aborted);
  CHECK(delivered == false);
  CHECK(exchange->pending < 300 * 1024);
  CHECK(source->tokens().size() == 200);
}

}  // namespace
}  // namespace skylarkcroft
