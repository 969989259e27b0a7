#include <catch2/catch.hpp>
#include <string>

#include "tests/relay/relay_fixture.h"

namespace skylarkcroft {
namespace {

using received_request = scripted_upstream::received_request;
using fixture = relay_fixture;

/// A relay in front of engines that crash when they begin to answer a prompt
/// with the part "bad".
class crashing_engines {
 public:
  crashing_engines() {
    relay.map.pools.front().engine = engine_capacity{8, 100000};
    // A crash counts only after a while, and only apart from other crashes.
    tick = relay.loop.Every(milliseconds(20),
                            [this] { relay.quarantine.Tick(SteadyNow()); });
    relay.SetHandler([this](const received_request& request) {
      const bool crashes =
          request.head.headers.Get("X-Parts").find("bad") != std::string::npos;
      if (crashes) {
        ++crashes_seen;
        request.write(fixture::StreamHead(request));
        request.close();
        return;
      }
      request.write(fixture::StreamHead(request) + fixture::EventChunk(1) +
                    "0\r\n\r\n");
    });
  }

  /// Sends one request, waits for its end and returns its record. Its body is
  /// another one with each prompt.
  request_record Ask(const std::string& path, const std::string& parts) {
    const size_t before = relay.records.size();
    raw_client client(relay.loop, relay.server.address());
    client.Send(fixture::Request(path, "r" + std::to_string(before),
                                 "X-Tokens: 10,5\r\nX-Parts: " + parts + "\r\n",
                                 parts));
    REQUIRE(relay.Await([&] { return relay.records.size() > before; }));
    relay.loop.RunFor(milliseconds(20));
    response = client.received;
    // Breaks at one upstream within a second count as one crash.
    relay.loop.RunFor(milliseconds(1050));
    return relay.records.back();
  }
  void Quarantine() {
    Ask("/stream/", "common:5,sound:1,z:1");
    Ask("/stream/", "common:5,bad:2,a:1");
    Ask("/stream/", "common:5,bad:2,b:1");
    Ask("/stream/", "common:5,bad:2,c:1");
  }

  fixture relay;
  event_loop::handle_ptr tick;
  int crashes_seen = 0;
  std::string response;
};

}  // namespace

// Guards against requests of one kind that crash upstreams one after the other.
TEST_CASE("Requests with a prompt part that crashes upstreams are rejected",
          "[relay][quarantine][regression]") {
  crashing_engines engines;
  engines.Quarantine();
  CHECK(engines.crashes_seen == 3);
  const request_record rejected = engines.Ask("/stream/", "common:5,bad:2,d:1");
  CHECK(rejected.status == 503);
  CHECK(rejected.reason == "part_quarantined");
  CHECK(rejected.total < milliseconds(100));
  CHECK(engines.response.find("Retry-After: 1") != std::string::npos);
  CHECK(engines.crashes_seen == 3);
  CHECK(engines.Ask("/stream/", "common:5,sound:1,e:1").status == 200);
}

// Guards against crashes that are multiplied by repeating one request.
TEST_CASE("A request that crashed two upstreams is not sent to a third",
          "[relay][quarantine][regression]") {
  crashing_engines engines;
  engines.relay.map.routes.back().max_attempts = 5;
  const request_record first = engines.Ask("/resume/", "common:5,bad:2,a:1");
  CHECK(first.status == 502);
  CHECK(first.reason == "request_crashed");
  CHECK(engines.crashes_seen == 2);
  const request_record repeat = engines.Ask("/resume/", "common:5,bad:2,a:1");
  CHECK(repeat.status == 503);
  CHECK(repeat.reason == "request_crashed");
  CHECK(engines.crashes_seen == 2);
}

// Guards against crashes that go unnoticed because the upstream is asked first
// whether it goes on.
TEST_CASE("A crash that ends an answer without a length counts as a crash",
          "[relay][quarantine][ended_process][regression]") {
  crashing_engines engines;
  fixture& relay = engines.relay;
  engines.tick.reset();
  event_loop::handle_ptr crash;
  for (scripted_upstream* upstream :
       {&relay.first_upstream, &relay.second_upstream}) {
    upstream->SetHandler([&, upstream](const received_request& request) {
      request.write(fixture::UnframedStreamHead(request) + fixture::Event(1));
      crash = relay.loop.After(milliseconds(110), [upstream, request] {
        upstream->StopListening();
        request.close();
      });
    });
  }
  raw_client client(relay.loop, relay.server.address());
  client.Send(fixture::Request("/stream/", "r1",
                               "X-Tokens: 10,5\r\nX-Parts: common:5,bad:2,a:1"
                               "\r\n"));
  REQUIRE(relay.Await([&] { return !relay.records.empty(); }));
  CHECK(relay.records.back().status == 502);
  CHECK(relay.quarantine.HasUnconfirmedCrashes(SteadyNow()));
}

// Guards against crashes by requests that were on their way to an upstream when
// their part was found.
TEST_CASE(
    "Requests that wait for an upstream are recalled when their part is "
    "quarantined",
    "[relay][quarantine][regression]") {
  crashing_engines engines;
  fixture& relay = engines.relay;
  relay.SetHandler([](const received_request&) {});
  raw_client client(relay.loop, relay.server.address());
  client.Send(fixture::Request("/stream/", "r1",
                               "X-Tokens: 10,5\r\nX-Parts: common:5,bad:2,a:1"
                               "\r\n"));
  REQUIRE(relay.Await([&] { return relay.RequestCount() == 1; }));
  const prompt_key prompt =
      MakePromptKey("pool", ParseGenerationShape("10,5", "bad:2,a:1"));
  quarantine_notice notice;
  notice.quarantined = {
      {prompt.shared, milliseconds(500), milliseconds(60000), 0}};
  relay.quarantine.OnNotice(notice, SteadyNow());
  REQUIRE(relay.Await([&] { return !relay.records.empty(); }));
  CHECK(relay.records.back().status == 502);
  CHECK(relay.records.back().reason == "part_quarantined");
  CHECK(relay.Await([&] { return *relay.FirstRequest().closed; }));
}

TEST_CASE("A failed attempt is described with its prompt and what had arrived",
          "[relay][log]") {
  crashing_engines engines;
  engines.Ask("/stream/", "common:5,bad:2,a:1");
  REQUIRE(engines.relay.failed_attempts.size() == 1);
  const attempt_record& failed = engines.relay.failed_attempts.front();
  CHECK(failed.failure == "broken");
  CHECK(failed.head_received);
  CHECK_FALSE(failed.output_age.has_value());
  CHECK(failed.prompt_parts == "common,bad,a");
}

}  // namespace skylarkcroft
