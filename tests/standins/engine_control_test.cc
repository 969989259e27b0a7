#include <catch2/catch.hpp>
#include <string>

#include "standins/engine/completion_text.h"
#include "tests/standins/engine_harness.h"

namespace skylarkcroft::standin {
namespace {

constexpr int kLong = 100000;

std::string Words(int count) {
  std::string prompt = "w";
  for (int i = 1; i < count; ++i) {
    prompt += " w";
  }
  return prompt;
}

/// One engine and a client.
struct engine_fixture {
  explicit engine_fixture(const engine_options& options = FastOptions())
      : engine(harness.loop, options, SteadyNow), peer(engine.address()) {}

  void Start(const http_request& request, watched_call& watched) {
    harness.Start(peer, request, watched);
  }

  void SetFault(const nlohmann::json& fault) {
    harness.Post(peer, "/admin/fault", fault);
  }

  standin_harness harness;
  engine_standin engine;
  endpoint peer;
};

TEST_CASE("an urgent request overtakes those that wait", "[engine]") {
  engine_options options = FastOptions();
  options.speeds.slots = 1;
  engine_fixture fixture(options);
  watched_call running;
  watched_call low;
  watched_call urgent;
  fixture.Start(StreamRequest("running", "p", kLong), running);
  fixture.harness.RunUntil([&] { return !running.data.empty(); });
  fixture.Start(StreamRequest("low", "p", 2), low);
  fixture.harness.RunUntil(
      [&] { return fixture.engine.stats().requests == 2; });
  http_request request = StreamRequest("urgent", "p", kLong);
  nlohmann::json body = nlohmann::json::parse(request.body);
  body["priority"] = -1;
  request.body = body.dump();
  fixture.Start(request, urgent);
  fixture.harness.RunUntil(
      [&] { return fixture.engine.stats().requests == 3; });
  CHECK(fixture.harness.Get(fixture.peer, "/load")["waiting"] == 2);
  fixture.harness.Post(fixture.peer, "/v1/cancel", {{"request_id", "running"}});
  fixture.harness.RunUntil([&] { return !urgent.data.empty(); });
  CHECK(low.status == 0);
  urgent.call.reset();
  fixture.harness.RunUntil([&] { return low.done; });
  CHECK(StreamText(low.data) == CompletionText(kModel, "p", 1, 2));
}

TEST_CASE("a cancelled request ends without its closing events", "[engine]") {
  engine_fixture fixture;
  watched_call stream;
  fixture.Start(StreamRequest("r", "p", kLong), stream);
  fixture.harness.RunUntil([&] { return CountOf(stream.data, "id: ") >= 3; });
  const auto answer =
      fixture.harness.Post(fixture.peer, "/v1/cancel", {{"request_id", "r"}});
  fixture.harness.RunUntil([&] { return stream.done; });
  CHECK(CountOf(stream.data, "id: ") == answer["tokens"]);
  CHECK(CountOf(stream.data, "[DONE]") == 0);
  CHECK(fixture.engine.stats().cancelled == 1);
  const http_result again = fixture.harness.Call(
      fixture.peer, {"POST", "/v1/cancel", {}, R"({"request_id":"r"})"});
  CHECK(again.response.status == 404);
}

TEST_CASE("a client that goes away frees its slot", "[engine]") {
  engine_options options = FastOptions();
  options.speeds.slots = 1;
  engine_fixture fixture(options);
  watched_call gone;
  watched_call waiting;
  fixture.Start(StreamRequest("gone", "p", kLong), gone);
  fixture.harness.RunUntil([&] { return !gone.data.empty(); });
  fixture.Start(StreamRequest("waiting", "p", 2), waiting);
  gone.call.reset();
  fixture.harness.RunUntil([&] { return waiting.done; });
  CHECK(waiting.result.Ok());
  CHECK(fixture.engine.stats().cancelled == 1);
}

TEST_CASE("a resume after an import prefills nothing", "[engine][kv]") {
  const std::string prompt = Words(40);
  engine_fixture from;
  watched_call stream;
  from.Start(StreamRequest("r", prompt, kLong), stream);
  from.harness.RunUntil([&] { return CountOf(stream.data, "id: ") >= 3; });
  const auto exported =
      from.harness.Post(from.peer, "/kv/export", {{"request_id", "r"}});
  const int tokens = exported["tokens"];
  from.harness.RunUntil([&] { return stream.done; });
  CHECK(CountOf(stream.data, "id: ") == tokens);

  engine_fixture to;
  to.harness.Post(to.peer, "/kv/import",
                  {{"request_id", "r"}, {"kv", exported["kv"]}});
  const http_result rest =
      to.harness.Call(to.peer, StreamRequest("r", prompt, tokens + 5, tokens));
  CHECK(StreamText(stream.data) + StreamText(rest.response.body) ==
        CompletionText(kModel, prompt, 1, tokens + 5));
  CHECK(to.engine.stats().prefill_tokens == 0);
  CHECK(to.engine.stats().imported == 1);
  CHECK(from.engine.stats().exported == 1);
}

TEST_CASE("without an import a resume recomputes prompt and delivered tokens",
          "[engine][kv]") {
  engine_fixture fixture;
  fixture.harness.Call(fixture.peer, StreamRequest("r", Words(40), 12, 10));
  CHECK(fixture.engine.stats().prefill_tokens == 50);
  fixture.harness.Call(fixture.peer, StreamRequest("r", Words(40), 12, 10));
  CHECK(fixture.engine.stats().cached_tokens == 32);
  CHECK(fixture.engine.stats().prefill_tokens == 50 + 50 - 32);
  CHECK(fixture.engine.stats().runs.at("r") == 2);
}

TEST_CASE("cache events name the prompt's blocks", "[engine][events]") {
  engine_fixture fixture;
  fixture.harness.Call(fixture.peer, StreamRequest("r", Words(40), 1));
  const auto page = fixture.harness.Get(fixture.peer, "/events?after=1");
  CHECK(page["last_seq"] == 2);
  REQUIRE(page["events"].size() == 1);
  CHECK(page["events"][0]["kind"] == "stored");
  CHECK(page["events"][0]["tokens"] == 32);
  CHECK(page["events"][0]["prefix_hash"] == HashText(Fnv1a(Words(32))));
}

TEST_CASE("a load report shows the past", "[engine][load]") {
  time_point now{};
  standin_harness harness;
  engine_options options = FastOptions();
  options.load_lag = milliseconds(500);
  options.speeds.first_token = milliseconds(1000000);
  const engine_standin engine(harness.loop, options, [&now] { return now; });
  watched_call call;
  harness.Start(engine.address(), StreamRequest("r", "p", 1), call);
  harness.RunUntil([&] { return engine.stats().runs.count("r") == 1; });
  CHECK(harness.Get(engine.address(), "/load")["running"] == 0);
  now += milliseconds(499);
  CHECK(harness.Get(engine.address(), "/load")["running"] == 0);
  now += milliseconds(1);
  CHECK(harness.Get(engine.address(), "/load")["running"] == 1);
}

TEST_CASE("an engine that is loading or draining refuses work as not run",
          "[engine][orders]") {
  time_point now{};
  standin_harness harness;
  engine_options options = FastOptions();
  options.model_load_time = milliseconds(1000);
  const engine_standin engine(harness.loop, options, [&now] { return now; });
  const nlohmann::json loading =
      harness.Post(engine.address(), "/orders",
                   {{"fence", 2},
                    {"issuer", "n"},
                    {"number", 1},
                    {"desired", {{"model", kModel}}}});
  CHECK(loading["loading"] == true);
  const http_request request = StreamRequest("r", "p", 1);
  CHECK(harness.Call(engine.address(), request).response.status == 503);
  now += milliseconds(1000);
  CHECK(harness.Get(engine.address(), "/orders")["actual"]["model"] == kModel);
  const http_result stale = harness.Call(
      engine.address(),
      {"POST",
       "/orders",
       {},
       R"({"fence":1,"issuer":"n","number":2,"desired":{"model":"x"}})"});
  CHECK(stale.response.status == 409);
  CHECK(stale.response.body == R"({"fence":2})");
  harness.Post(engine.address(), "/orders",
               {{"fence", 3},
                {"issuer", "n"},
                {"number", 1},
                {"desired", {{"model", kModel}, {"draining", true}}}});
  CHECK(harness.Call(engine.address(), request).response.status == 503);
  CHECK(engine.stats().runs.empty());
}

TEST_CASE("a request whose deadline passes while it waits is not run",
          "[engine]") {
  engine_options options = FastOptions();
  options.speeds.slots = 1;
  engine_fixture fixture(options);
  watched_call running;
  watched_call late;
  fixture.Start(StreamRequest("running", "p", kLong), running);
  fixture.harness.RunUntil([&] { return !running.data.empty(); });
  http_request request = StreamRequest("late", "p", 1);
  request.headers.Add("X-Deadline-Ms", "0");
  fixture.Start(request, late);
  fixture.harness.RunUntil(
      [&] { return fixture.engine.stats().requests == 2; });
  fixture.harness.RunUntil([&, seen = CountOf(running.data, "id: ")] {
    return CountOf(running.data, "id: ") > seen + 2;
  });
  running.call.reset();
  fixture.harness.RunUntil([&] { return late.done; });
  CHECK(late.status == 503);
  CHECK(fixture.engine.stats().runs.count("late") == 0);
}

TEST_CASE("requests beyond the waiting bound are refused", "[engine]") {
  engine_options options = FastOptions();
  options.speeds.slots = 1;
  options.max_waiting = 0;
  engine_fixture fixture(options);
  watched_call running;
  fixture.Start(StreamRequest("running", "p", kLong), running);
  fixture.harness.RunUntil([&] { return !running.data.empty(); });
  const http_result refused =
      fixture.harness.Call(fixture.peer, StreamRequest("r", "p", 1));
  CHECK(refused.response.status == 429);
  CHECK(refused.response.headers.Has("Retry-After"));
}

}  // namespace
}  // namespace skylarkcroft::standin
