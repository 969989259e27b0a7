#include <catch2/catch.hpp>
#include <string>

#include "standins/engine/completion_text.h"
#include "tests/standins/engine_harness.h"

namespace skylarkcroft::standin {
namespace {

TEST_CASE("a streamed answer has each token under its number, usage and an end",
          "[engine]") {
  standin_harness harness;
  const engine_standin engine(harness.loop, FastOptions(), SteadyNow);
  const http_result result =
      harness.Call(engine.address(), StreamRequest("r", "a b c", 5));
  const std::string& events = result.response.body;
  CHECK(result.Ok());
  CHECK(result.response.headers.Get("Content-Type") == "text/event-stream");
  CHECK(StreamText(events) == CompletionText(kModel, "a b c", 1, 5));
  CHECK(events.starts_with("id: 1\n"));
  CHECK(CountOf(events, "id: ") == 5);
  CHECK(CountOf(events, R"("finish_reason":"length")") == 1);
  CHECK(CountOf(events, R"("prompt_tokens":3)") == 1);
  CHECK(events.ends_with("data: [DONE]\n\n"));
}

TEST_CASE("an unstreamed chat answers the joined messages in one object",
          "[engine]") {
  standin_harness harness;
  const engine_standin engine(harness.loop, FastOptions(), SteadyNow);
  const nlohmann::json body = {{"model", kModel},
                               {"messages",
                                {{{"role", "system"}, {"content", "be brief"}},
                                 {{"role", "user"}, {"content", "hello"}}}},
                               {"temperature", 0.5},
                               {"max_tokens", 4}};
  const auto answer =
      harness.Post(engine.address(), "/v1/chat/completions", body);
  CHECK(answer["object"] == "chat.completion");
  CHECK(answer["choices"][0]["message"]["content"] ==
        CompletionText(kModel, "be brief\nhello", 1, 4));
  CHECK(answer["usage"]["prompt_tokens"] == 3);
  CHECK(answer["usage"]["completion_tokens"] == 4);
}

TEST_CASE("a stop text ends the answer before the token that holds it",
          "[engine]") {
  const std::string third = TokenText(kModel, "p", 3);
  const std::string stop = third.substr(0, third.size() - 1);
  standin_harness harness;
  const engine_standin engine(harness.loop, FastOptions(), SteadyNow);
  const auto answer = harness.Post(
      engine.address(), "/v1/completions",
      {{"model", kModel}, {"prompt", "p"}, {"max_tokens", 9}, {"stop", stop}});
  CHECK(answer["choices"][0]["text"] == CompletionText(kModel, "p", 1, 2));
  CHECK(answer["choices"][0]["finish_reason"] == "stop");
}

TEST_CASE("an answer begun by one engine and resumed by another is the same",
          "[engine][resume]") {
  const std::string whole = CompletionText(kModel, "the prompt", 1, 12);
  standin_harness harness;
  engine_options options = FastOptions();
  options.seed = 7;
  const engine_standin other(harness.loop, options, SteadyNow);
  const int delivered = GENERATE(1, 6, 11, 12);
  const http_result rest = harness.Call(
      other.address(), StreamRequest("r", "the prompt", 12, delivered));
  const std::string begun = CompletionText(kModel, "the prompt", 1, delivered);
  CHECK(begun + StreamText(rest.response.body) == whole);
  CHECK(rest.response.body.ends_with("data: [DONE]\n\n"));
  CHECK(CountOf(rest.response.body, "id: ") == 12 - delivered);
  CHECK(other.stats().generated_tokens == 12 - delivered);
  CHECK(other.stats().resumed == 1);
}

TEST_CASE("a bad request is refused with its reason", "[engine]") {
  standin_harness harness;
  engine_options options = FastOptions();
  options.model = kModel;
  const engine_standin engine(harness.loop, options, SteadyNow);
  http_request request = StreamRequest("r", "p", 3);
  std::string reason;
  SECTION("not JSON") {
    request.body = "{";
    reason = "is not valid JSON";
  }
  SECTION("a model that is not loaded") {
    request.body = R"({"model":"other","prompt":"p"})";
    reason = "'other' is not loaded";
  }
  SECTION("a resume beyond the answer") {
    request.headers.Add("Last-Event-ID", "4");
    reason = "Last-Event-ID: lies beyond the answer";
  }
  const http_result result = harness.Call(engine.address(), request);
  CHECK(result.response.status == 400);
  CHECK_THAT(result.response.body, Catch::Contains(reason));
  CHECK(engine.stats().runs.empty());
}

}  // namespace
}  // namespace skylarkcroft::standin
