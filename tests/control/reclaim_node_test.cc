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

constexpr size_t kMaxEventBytes = 1 << 20;
constexpr int kTokens = 1000;
constexpr int kNoticeMs = 3000;
constexpr size_t kStreams = 16;
constexpr size_t kReclaimedEngines = 2;

/// A client's view of one stream.
class caller_stream {
 public:
  caller_stream(node_fixture& fixture, std::string prompt)
      : prompt_(std::move(prompt)),
        parser_(kMaxEventBytes,
                [this](const sse_event& event) { Take(event); }) {
    http_call_events events;
    events.on_data = [this](std::string_view data) {
      parser_.Feed(std::string(data));
    };
    events.on_done = [this](const http_result& result) { ended_ = result; };
    call_ = fixture.client.Send(
        fixture.nodes.front()->callers_address(),
        node_fixture::Completion(prompt_, kTokens, true), {}, events);
  }

  [[nodiscard]] bool begun() const { return tokens_ > 0; }
  [[nodiscard]] bool ended() const { return ended_.has_value(); }
  /// True when every token arrived exactly once and in order, with the expected
  /// text, and the stream was terminated.
  [[nodiscard]] bool complete() const {
    return done_ && in_order_ && tokens_ == kTokens &&
           text_ == standin::CompletionText("m", prompt_, 1, kTokens);
  }

 private:
  void Take(const sse_event& event) {
    if (event.data == "[DONE]") {
      done_ = true;
      return;
    }
    const nlohmann::json data = nlohmann::json::parse(event.data);
    if (!data.contains("choices") || data.at("choices").empty()) {
      return;
    }
    ++tokens_;
    in_order_ = in_order_ && event.id == std::to_string(tokens_);
    text_ += data.at("choices").at(0).at("text").get<std::string>();
  }

  std::string prompt_;
  sse_parser parser_;
  std::string text_;
  int tokens_ = 0;
  bool in_order_ = true;
  bool done_ = false;
  std::optional<http_result> ended_;
  http_call_ptr call_;
};

/// Places the first two engines in one availability zone and the others in a
/// second zone, and adds all of them to the platform's host list.
void PutTwoZones(node_fixture& fixture) {
  nlohmann::json document = fixture.PoolsDocument();
  nlohmann::json hosts = nlohmann::json::array();
  nlohmann::json& upstreams = document["pools"][0]["upstreams"];
  for (size_t index = 0; index < upstreams.size(); ++index) {
    const bool reclaimed = index < kReclaimedEngines;
    upstreams[index]["availability_zone"] = reclaimed ? "cairo-a" : "cairo-b";
    hosts.push_back({{"id", "h" + std::to_string(index)},
                     {"kind", "upstream"},
                     {"pool", "assistant"},
                     {"address", upstreams[index]["address"]},
                     {"availability_zone", reclaimed ? "cairo-a" : "cairo-b"},
                     {"incarnation", 1},
                     {"state", "live"}});
  }
  REQUIRE(fixture.Put("pools", document).status == 200);
  fixture.PostPlatform("/admin/hosts", {{"hosts", hosts}});
}

void ReclaimZone(node_fixture& fixture) {
  fixture.PostPlatform("/admin/reclaim", {{"availability_zone", "cairo-a"},
                                          {"notice_ms", kNoticeMs}});
  for (size_t index = 0; index < kReclaimedEngines; ++index) {
    http_request leave;
    leave.method = "POST";
    leave.target = "/admin/leave";
    leave.body = nlohmann::json({{"notice_ms", kNoticeMs}}).dump();
    static_cast<void>(fixture.Call(fixture.engines[index]->address(), leave));
  }
}

int64_t PrefillTokens(const node_fixture& fixture) {
  int64_t tokens = 0;
  for (const auto& engine : fixture.engines) {
    tokens += engine->stats().prefill_tokens;
  }
  return tokens;
}

/// Sixteen streams that have each received a token, on four engines in two
/// availability zones.
class stream_load {
 public:
  stream_load() : fixture(1, 4) {
    fixture.PutTables();
    PutTwoZones(fixture);
    std::string words;
    for (int word = 0; word < 64; ++word) {
      words += " w" + std::to_string(word);
    }
    streams_.reserve(kStreams);
    for (size_t index = 0; index < kStreams; ++index) {
      streams_.push_back(std::make_unique<caller_stream>(
          fixture, "p" + std::to_string(index) + words));
    }
    REQUIRE(fixture.Until([&] { return All(&caller_stream::begun); }));
  }

  bool All(bool (caller_stream::*holds)() const) const {
    return std::all_of(streams_.begin(), streams_.end(),
                       [&](const auto& one) { return ((*one).*holds)(); });
  }

  nlohmann::json Reclaims() {
    const http_response reply = fixture.Get(
        fixture.nodes.front()->operators_address(), "/operators/status");
    return nlohmann::json::parse(reply.body).at("reclaims");
  }

  node_fixture fixture;

 private:
  std::vector<std::unique_ptr<caller_stream>> streams_;
};

}  // namespace

TEST_CASE("Streams survive a zone that is reclaimed with notice",
          "[control][reclaim]") {
  stream_load load;
  const int64_t prefill_before = PrefillTokens(load.fixture);
  const int notices = GENERATE(1, 2);
  for (int notice = 0; notice < notices; ++notice) {
    ReclaimZone(load.fixture);
  }
  REQUIRE(load.fixture.Until([&] { return load.All(&caller_stream::ended); }));
  CHECK(load.All(&caller_stream::complete));
  const nlohmann::json reclaims = load.Reclaims();
  WARN(reclaims.dump() << ", tokens prefilled by engines after the notice "
                       << PrefillTokens(load.fixture) - prefill_before);
  CHECK(reclaims.at("notices") == kReclaimedEngines);
  CHECK(reclaims.at("transferred").get<int>() > 0);
  CHECK(5 * reclaims.at("recomputed_tokens").get<int64_t>() <=
        reclaims.at("restart_tokens").get<int64_t>());
}

// Guards against a stream that leaves its upstream at the notice, although no
// other upstream takes it.
TEST_CASE("A stream with no other upstream stays until the end of the notice",
          "[control][reclaim]") {
  constexpr milliseconds kPartPeriod{400};
  constexpr int kParts = 5;
  std::vector<event_loop::handle_ptr> timers;
  event_loop* loop = nullptr;
  int sent = 0;
  scripted_node node([&](const scripted_upstream::received_request& request) {
    if (request.head.target.starts_with("/kv/")) {
      request.write("HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n");
      return;
    }
    ++sent;
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
  });
  loop = &node.fixture.loop;
  node.fixture.PostPlatform("/admin/hosts",
                            {{"hosts",
                              {{{"id", "h1"},
                                {"kind", "upstream"},
                                {"pool", "assistant"},
                                {"address", ToString(node.engine.address())},
                                {"availability_zone", "cairo-a"},
                                {"incarnation", 1},
                                {"state", "live"}}}}});
  std::string text;
  std::optional<http_result> ended;
  const http_call_ptr call = node.fixture.client.Send(
      node.fixture.nodes[0]->callers_address(),
      node_fixture::Completion("p", kTokens, true), {},
      {{},
       [&](std::string_view data) { text += data; },
       [&](const http_result& result) { ended = result; }});
  REQUIRE(node.fixture.Until([&] { return !text.empty(); }));
  node.fixture.PostPlatform("/admin/reclaim", {{"availability_zone", "cairo-a"},
                                               {"notice_ms", kNoticeMs}});
  REQUIRE(node.fixture.Until([&] { return ended.has_value(); }));
  const nlohmann::json status = nlohmann::json::parse(
      node.fixture
          .Get(node.fixture.nodes[0]->operators_address(), "/operators/status")
          .body);
  CHECK(status.at("reclaims").at("notices") == 1);
  CHECK(status.at("reclaims").at("resumed") == 0);
  CHECK(sent == 1);
  CHECK_THAT(text, Catch::Matchers::Contains("[DONE]"));
}

TEST_CASE("Streams survive an engine that dies during its notice",
          "[control][reclaim]") {
  stream_load load;
  ReclaimZone(load.fixture);
  load.fixture.engines.erase(load.fixture.engines.begin());
  REQUIRE(load.fixture.Until([&] { return load.All(&caller_stream::ended); }));
  CHECK(load.All(&caller_stream::complete));
}

}  // namespace skylarkcroft
