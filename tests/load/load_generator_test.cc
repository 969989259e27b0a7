#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <set>

#include "load/skylarkcroft_load_generator.h"
#include "skylarkcroft/http/skylarkcroft_http_server.h"

namespace skylarkcroft::load {
namespace {

constexpr milliseconds kTestLimit{30'000};
constexpr int kTokens = 4;

std::string Text(const std::string& model, const std::string& prompt,
                 int64_t index) {
  return model + std::to_string(prompt.size()) + prompt.back() +
         std::to_string(index) + " ";
}

std::string PromptOf(const http_request& request) {
  const nlohmann::json body = nlohmann::json::parse(request.body);
  return body["messages"][0]["content"];
}

std::string TokenEvent(int64_t id, const std::string& text) {
  nlohmann::json choice = {{"index", 0}, {"delta", {{"content", text}}}};
  if (id == kTokens) {
    choice["finish_reason"] = "length";
  }
  return "id: " + std::to_string(id) +
         "\ndata: " + nlohmann::json{{"choices", {choice}}}.dump() + "\n\n";
}

/// A node whose answers are scripted by the test.
struct scripted_node {
  explicit scripted_node(http_handler_fn handler)
      : server(loop, {"127.0.0.1", 0}, {}, std::move(handler)) {}

  load_result Run(experiment_definition definition) {
    definition.nodes = {server.address()};
    bool finished = false;
    load_generator generator(loop, std::move(definition), "run",
                             {SteadyNow, Text, {}});
    generator.Start([&] {
      finished = true;
      loop.Stop();
    });
    loop.RunFor(kTestLimit);
    REQUIRE(finished);
    return generator.Result();
  }

  /// Breaks the connection once what was written has left.
  void AbortOnceTaken(const http_exchange_ptr& exchange) {
    held.push_back(exchange);
    abort_timer = loop.Every(milliseconds(1), [this] {
      std::erase_if(held, [](const http_exchange_ptr& each) {
        const bool taken = each->pending_bytes() == 0;
        if (taken) {
          each->Abort();
        }
        return taken;
      });
    });
  }

  event_loop loop;
  http_server server;
  event_loop::handle_ptr abort_timer;
  /// Exchanges that the handler left unanswered; they end before the server.
  std::vector<http_exchange_ptr> held;
};

experiment_definition Definition() {
  caller_group group;
  group.name = "drivers";
  group.callers = 3;
  group.key_prefix = "driver";
  group.path = "/v1/chat/completions";
  group.model = "m";
  group.rate_per_caller = 20.0;
  group.max_tokens = kTokens;
  group.prompt.words = 5;
  experiment_definition definition;
  definition.name = "test";
  definition.duration = milliseconds(500);
  definition.max_requests = 1000;
  definition.max_in_flight = 1000;
  definition.groups = {group};
  return definition;
}

void StartStream(const http_exchange_ptr& exchange, const std::string& id) {
  exchange->Start(
      200, {{"X-Request-Id", id}, {"Content-Type", "text/event-stream"}});
}

void WriteTokens(const http_exchange_ptr& exchange, const std::string& prompt,
                 int64_t from, int64_t to) {
  for (int64_t id = from; id <= to; ++id) {
    exchange->Write(TokenEvent(id, Text("m", prompt, id)));
  }
}

void EndStream(const http_exchange_ptr& exchange) {
  exchange->Write("data: [DONE]\n\n");
  exchange->End();
}

TEST_CASE("whole streams are counted with their tokens and times",
          "[load][stream]") {
  std::set<std::string> keys;
  scripted_node node([&](const http_exchange_ptr& exchange) {
    keys.insert(exchange->request().headers.Get("Authorization"));
    StartStream(exchange, "r");
    WriteTokens(exchange, PromptOf(exchange->request()), 1, kTokens);
    EndStream(exchange);
  });
  const load_result result = node.Run(Definition());
  const group_result& group = result.groups.at(0);
  CHECK(group.sent > 5);
  CHECK(group.whole == group.sent);
  CHECK(group.tokens == group.sent * kTokens);
  CHECK(group.targets_met == group.sent);
  CHECK(group.first_token.count == group.sent);
  CHECK(group.between_tokens.count == group.sent * (kTokens - 1));
  CHECK(keys == std::set<std::string>{"Bearer driver-1", "Bearer driver-2",
                                      "Bearer driver-3"});
}

TEST_CASE("faults of a stream make its answer wrong", "[load][stream]") {
  const std::string fault = GENERATE("repeated", "missing", "foreign");
  scripted_node node([&](const http_exchange_ptr& exchange) {
    const std::string prompt = PromptOf(exchange->request());
    StartStream(exchange, "r");
    WriteTokens(exchange, prompt, 1, 2);
    if (fault == "repeated") {
      WriteTokens(exchange, prompt, 2, kTokens);
    } else if (fault == "missing") {
      WriteTokens(exchange, prompt, kTokens, kTokens);
    } else {
      WriteTokens(exchange, prompt + "x", 3, 3);
      WriteTokens(exchange, prompt, kTokens, kTokens);
    }
    EndStream(exchange);
  });
  const group_result group = node.Run(Definition()).groups.at(0);
  CHECK(group.sent > 0);
  CHECK(group.wrong == group.sent);
  CHECK(group.whole == 0);
  CHECK(group.targets_met == 0);
  const answer_faults expected = {fault == "repeated" ? group.sent : 0,
                                  fault == "missing" ? group.sent : 0,
                                  fault == "foreign" ? group.sent : 0, 0};
  CHECK(group.faults == expected);
}

TEST_CASE("arrivals do not wait for answers", "[load]") {
  constexpr size_t kHeld = 10;
  scripted_node* self = nullptr;
  scripted_node node([&](const http_exchange_ptr& exchange) {
    std::vector<http_exchange_ptr>& held = self->held;
    held.push_back(exchange);
    if (held.size() < kHeld) {
      return;
    }
    for (const http_exchange_ptr& each : held) {
      each->Reply({429,
                   {{"Content-Type", "application/problem+json"}},
                   R"({"reason":"queue_full","run_state":"not_run"})"});
    }
    held.clear();
  });
  self = &node;
  experiment_definition definition = Definition();
  definition.drain = milliseconds(0);
  const group_result group = node.Run(definition).groups.at(0);
  CHECK(group.refused >= static_cast<int64_t>(kHeld));
  CHECK(group.refused_by_reason ==
        std::vector<reason_count>{{"queue_full", group.refused}});
  CHECK(group.refused_by_run_state ==
        std::vector<reason_count>{{"not_run", group.refused}});
}

TEST_CASE("a run against a silent node stops by itself", "[load]") {
  scripted_node* self = nullptr;
  scripted_node node([&](const http_exchange_ptr& exchange) {
    self->held.push_back(exchange);
  });
  self = &node;
  experiment_definition definition = Definition();
  definition.drain = milliseconds(0);
  definition.max_in_flight = 4;
  const group_result group = node.Run(definition).groups.at(0);
  CHECK(group.open == 4);
  CHECK(group.lost == 0);
  CHECK(group.not_sent > 0);
}

TEST_CASE("a node that is silent for too long loses the request", "[load]") {
  scripted_node* self = nullptr;
  scripted_node node([&](const http_exchange_ptr& exchange) {
    self->held.push_back(exchange);
  });
  self = &node;
  experiment_definition definition = Definition();
  definition.progress_timeout = milliseconds(100);
  definition.drain = milliseconds(20'000);
  const group_result group = node.Run(definition).groups.at(0);
  CHECK(group.sent > 0);
  CHECK(group.lost_by_cause ==
        std::vector<reason_count>{{"timed_out", group.sent}});
}

TEST_CASE("an error event in a stream is a refusal with its reason",
          "[load][stream]") {
  scripted_node node([&](const http_exchange_ptr& exchange) {
    StartStream(exchange, "r");
    WriteTokens(exchange, PromptOf(exchange->request()), 1, 2);
    exchange->Write(
        "event: error\ndata: "
        R"({"reason":"upstream_failed","run_state":"unknown"})"
        "\n\n");
    exchange->End();
  });
  const group_result group = node.Run(Definition()).groups.at(0);
  CHECK(group.sent > 0);
  CHECK(group.refused_by_reason ==
        std::vector<reason_count>{{"upstream_failed", group.sent}});
  CHECK(group.refused_by_run_state ==
        std::vector<reason_count>{{"unknown", group.sent}});
}

TEST_CASE("a broken stream is continued from the token after the last",
          "[load][stream]") {
  std::vector<std::string> prompts;
  scripted_node* self = nullptr;
  scripted_node node([&](const http_exchange_ptr& exchange) {
    const http_request& request = exchange->request();
    if (request.method == "POST") {
      prompts.push_back(PromptOf(request));
      StartStream(exchange, std::to_string(prompts.size() - 1));
      WriteTokens(exchange, prompts.back(), 1, 2);
      self->AbortOnceTaken(exchange);
      return;
    }
    constexpr size_t kPrefixLength = sizeof("/v1/requests/") - 1;
    const size_t number = std::stoul(request.target.substr(kPrefixLength));
    CHECK(request.headers.Get("Last-Event-ID") == "2");
    StartStream(exchange, std::to_string(number));
    WriteTokens(exchange, prompts.at(number), 3, kTokens);
    EndStream(exchange);
  });
  self = &node;
  experiment_definition definition = Definition();
  SECTION("when the definition says so") {
    const group_result group = node.Run(definition).groups.at(0);
    CHECK(group.sent > 0);
    CHECK(group.whole == group.sent);
    CHECK(group.resumes == group.sent);
  }
  SECTION("else it is lost") {
    definition.resume_broken = false;
    const group_result group = node.Run(definition).groups.at(0);
    CHECK(group.lost == group.sent);
    CHECK(group.resumes == 0);
  }
}

TEST_CASE("deferred work is fetched by its id", "[load]") {
  std::string prompt;
  int polls = 0;
  scripted_node node([&](const http_exchange_ptr& exchange) {
    if (exchange->request().method == "POST") {
      CHECK(exchange->request().headers.Get("Prefer") == "respond-async");
      prompt = PromptOf(exchange->request());
      exchange->Reply({202, {{"Location", "/v1/requests/7"}}, ""});
      return;
    }
    CHECK(exchange->request().target == "/v1/requests/7");
    if (++polls < 3) {
      exchange->Reply({202, {}, R"({"state":"queued"})"});
      return;
    }
    const nlohmann::json answer = {
        {"choices", {{{"message", {{"content", Text("m", prompt, 1)}}}}}},
        {"usage", {{"completion_tokens", 1}}}};
    exchange->Reply({200, {}, answer.dump()});
  });
  experiment_definition definition = Definition();
  definition.groups[0].kind = request_kind::kDeferred;
  definition.groups[0].stream = false;
  definition.max_requests = 1;
  const group_result group = node.Run(definition).groups.at(0);
  CHECK(group.sent == 1);
  CHECK(group.whole == 1);
  CHECK(polls == 3);
}

TEST_CASE("a broken keyed call is submitted again under the same key",
          "[load]") {
  std::multiset<std::string> keys;
  scripted_node node([&](const http_exchange_ptr& exchange) {
    const std::string key = exchange->request().headers.Get("Idempotency-Key");
    keys.insert(key);
    if (keys.count(key) == 1) {
      exchange->Abort();
      return;
    }
    exchange->Reply({200, {}, "done"});
  });
  experiment_definition definition = Definition();
  definition.groups[0].kind = request_kind::kPlain;
  definition.groups[0].method = "POST";
  definition.groups[0].idempotency_key = true;
  const group_result group = node.Run(definition).groups.at(0);
  CHECK(group.sent > 0);
  CHECK(group.whole == group.sent);
  CHECK(static_cast<int64_t>(keys.size()) == 2 * group.sent);
}

}  // namespace
}  // namespace skylarkcroft::load
