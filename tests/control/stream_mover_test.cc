#include <catch2/catch.hpp>
#include <optional>
#include <string>
#include <vector>

#include "skylarkcroft/control/skylarkcroft_stream_mover.h"
#include "skylarkcroft/http/skylarkcroft_http_client.h"
#include "skylarkcroft/http/skylarkcroft_http_server.h"
#include "skylarkcroft/internal/skylarkcroft_event_loop.h"

namespace skylarkcroft {
namespace {

const endpoint kAnyPort{"127.0.0.1", 0};
constexpr int64_t kPrompt = 40;
constexpr int64_t kDelivered = 10;

/// A source of one urgent stream that records whether it is moved or resumed.
class recording_stream : public movable_streams {
 public:
  std::vector<running_stream> RunningOn(const endpoint& /*address*/,
                                        time_point /*now*/) const override {
    if (gone) {
      return {};
    }
    return {{"r1", rank::kUrgent, kPrompt, kDelivered, 100000,
             std::chrono::seconds(1)}};
  }
  bool HoldAttempt(const std::string& /*id*/) override { return true; }
  std::optional<endpoint> ChooseTarget(const std::string& /*id*/,
                                       time_point /*now*/) override {
    return target;
  }
  std::optional<int64_t> MoveTo(const std::string& /*id*/, const endpoint& to,
                                time_point /*now*/) override {
    moved_to = to;
    gone = true;
    return kDelivered;
  }
  std::optional<int64_t> Resume(const std::string& /*id*/,
                                time_point /*now*/) override {
    resumed = true;
    gone = true;
    return kDelivered;
  }

  std::optional<endpoint> target;
  std::optional<endpoint> moved_to;
  bool resumed = false;
  bool gone = false;
};

/// An engine that exports a KV cache of 12 tokens; the test can make export and
/// import fail.
class kv_engine {
 public:
  explicit kv_engine(event_loop& loop)
      : server(loop, kAnyPort, {}, [this](const http_exchange_ptr& exchange) {
          const bool ok =
              exchange->request().path() == "/kv/export" ? exports : imports;
          exchange->Reply({ok ? 200 : 404, {}, R"({"kv":"k","tokens":12})"});
        }) {}

  bool exports = true;
  bool imports = true;
  http_server server;
};

}  // namespace

TEST_CASE("A stream whose KV cache cannot be moved is resumed with a prefill",
          "[control][moves]") {
  event_loop loop;
  http_client client(loop);
  kv_engine old_engine(loop);
  kv_engine new_engine(loop);
  recording_stream stream;
  stream.target = new_engine.server.address();
  stream_mover mover(loop, client, stream, {}, SteadyNow);
  bool transferred = false;
  SECTION("nothing fails") { transferred = true; }
  SECTION("the export fails") { old_engine.exports = false; }
  SECTION("the import fails") { new_engine.imports = false; }
  SECTION("no engine can accept the stream") { stream.target.reset(); }
  mover.OnReclaimNotice(old_engine.server.address(),
                        SteadyNow() + std::chrono::seconds(10));
  for (int turn = 0; turn < 1000 && !stream.gone; ++turn) {
    loop.RunFor(milliseconds(5));
  }
  REQUIRE(stream.gone);
  CHECK(stream.resumed != transferred);
  CHECK(stream.moved_to.has_value() == transferred);
  CHECK(mover.counts().transferred == (transferred ? 1U : 0U));
  CHECK(mover.counts().recomputed_tokens ==
        (transferred ? 2 : kPrompt + kDelivered));
  CHECK(mover.counts().restart_tokens == kPrompt + kDelivered);
}

}  // namespace skylarkcroft
