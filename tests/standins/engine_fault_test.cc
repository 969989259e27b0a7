#include <catch2/catch.hpp>
#include <string>

#include "standins/engine/completion_text.h"
#include "tests/standins/engine_harness.h"

namespace skylarkcroft::standin {
namespace {

constexpr int kLong = 100000;

TEST_CASE("refused and failed requests are not run", "[engine][faults]") {
  standin_harness harness;
  const engine_standin engine(harness.loop, FastOptions(), SteadyNow);
  const std::string mode = GENERATE("refuse", "error");
  harness.Post(engine.address(), "/admin/fault",
               {{"mode", mode}, {"count", 1}});
  const http_request request = StreamRequest("r", "p", 2);
  const int status = mode == "refuse" ? 503 : 500;
  CHECK(harness.Call(engine.address(), request).response.status == status);
  CHECK(engine.stats().runs.empty());
  CHECK(harness.Call(engine.address(), request).Ok());
}

TEST_CASE("a broken stream has exactly the tokens before the break",
          "[engine][faults]") {
  standin_harness harness;
  const engine_standin engine(harness.loop, FastOptions(), SteadyNow);
  const int tokens = GENERATE(0, 1, 4);
  harness.Post(engine.address(), "/admin/fault",
               {{"mode", "break_after"}, {"tokens", tokens}, {"count", 1}});
  const http_result broken =
      harness.Call(engine.address(), StreamRequest("r", "p", 9));
  CHECK(broken.outcome != http_outcome::kComplete);
  CHECK(StreamText(broken.response.body) ==
        CompletionText(kModel, "p", 1, tokens));
  const http_result rest =
      harness.Call(engine.address(), StreamRequest("r", "p", 9, tokens));
  CHECK(StreamText(rest.response.body) ==
        CompletionText(kModel, "p", tokens + 1, 9));
}

TEST_CASE("a hung request is taken and never answered", "[engine][faults]") {
  standin_harness harness;
  const engine_standin engine(harness.loop, FastOptions(), SteadyNow);
  harness.Post(engine.address(), "/admin/fault",
               {{"mode", "hang"}, {"count", 1}});
  watched_call hung;
  harness.Start(engine.address(), StreamRequest("hung", "p", 2), hung);
  harness.RunUntil([&] { return engine.stats().requests == 1; });
  CHECK(harness.Call(engine.address(), StreamRequest("r", "p", 2)).Ok());
  CHECK_FALSE(hung.done);
  CHECK(hung.status == 0);
}

TEST_CASE("a slow engine takes its factor longer for each token",
          "[engine][faults]") {
  time_point now{};
  standin_harness harness;
  engine_options options = FastOptions();
  options.speeds.slots = 1;
  options.speeds.token = milliseconds(100);
  options.speeds.first_token = milliseconds(100);
  const engine_standin engine(harness.loop, options, [&now] { return now; });
  harness.Post(engine.address(), "/admin/fault",
               {{"mode", "slow"}, {"factor", 5}, {"count", 2}});
  watched_call stream;
  harness.Start(engine.address(), StreamRequest("r", "p", 2), stream);
  harness.RunUntil([&] { return engine.stats().runs.count("r") == 1; });
  now += milliseconds(499);
  harness.loop.RunFor(milliseconds(600));
  CHECK(engine.stats().generated_tokens == 0);
  now += milliseconds(10);
  harness.RunUntil([&] { return engine.stats().generated_tokens == 1; });
}

TEST_CASE("silent connections stay open without a byte while new ones work",
          "[engine][faults]") {
  standin_harness harness;
  const engine_standin engine(harness.loop, FastOptions(), SteadyNow);
  const endpoint& peer = engine.address();
  http_client old_client(harness.loop);
  watched_call stream;
  harness.Start(peer, StreamRequest("stream", "p", kLong), stream);
  bool idle_ready = false;
  const http_call_ptr first = old_client.Send(
      peer, {}, {}, {{}, {}, [&](const http_result&) { idle_ready = true; }});
  harness.RunUntil([&] { return idle_ready && !stream.data.empty(); });
  harness.Post(peer, "/admin/fault", {{"mode", "silent"}});

  bool answered = false;
  const http_call_ptr on_idle =
      old_client.Send(peer, StreamRequest("idle", "p", 1), {},
                      {[&](int, const http_headers&) { answered = true; },
                       {},
                       [&](const http_result&) { answered = true; }});
  harness.RunUntil([&] { return engine.stats().runs.count("idle") == 1; });
  const size_t before = stream.data.size();
  const int64_t generated = engine.stats().generated_tokens;
  CHECK(harness.Call(peer, StreamRequest("new", "p", 20)).Ok());
  CHECK(engine.stats().generated_tokens > generated + 20);
  CHECK(stream.data.size() == before);
  CHECK_FALSE(stream.done);
  CHECK_FALSE(answered);
  stream.call.reset();
  harness.RunUntil([&] { return engine.stats().cancelled == 1; });
}

TEST_CASE("an engine that leaves refuses new work, then ends everything",
          "[engine][leave]") {
  standin_harness harness;
  const engine_standin engine(harness.loop, FastOptions(), SteadyNow);
  const endpoint& peer = engine.address();
  watched_call stream;
  harness.Start(peer, StreamRequest("stream", "p", kLong), stream);
  harness.RunUntil([&] { return !stream.data.empty(); });
  harness.Post(peer, "/admin/leave", {{"notice_ms", 200}});
  const size_t at_notice = stream.data.size();
  CHECK(harness.Call(peer, StreamRequest("r", "p", 1)).response.status == 503);
  CHECK(harness.Call(peer, {"GET", "/health", {}, ""}).response.status == 503);
  CHECK(harness.Get(peer, "/load")["leaving"] == true);
  harness.RunUntil([&] { return stream.done; });
  CHECK(stream.data.size() > at_notice);
  CHECK(stream.result.outcome != http_outcome::kComplete);
  CHECK(engine.stats().received_while_leaving == 1);
  CHECK(harness.Call(peer, {}).outcome == http_outcome::kConnectFailed);
}

}  // namespace
}  // namespace skylarkcroft::standin
