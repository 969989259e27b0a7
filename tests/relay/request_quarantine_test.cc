#include <catch2/catch.hpp>
#include <functional>
#include <string>

#include "tests/relay/relay_fixture.h"

namespace skylarkcroft {
namespace {

using received_request = scripted_upstream::received_request;
using fixture = relay_fixture;

constexpr const char* kBad = "crashes upstreams";

/// When an upstream ends that was sent the request.
enum class crash_moment { kInHead, kBeforeOutput, kLongAfterOutput };

/// A relay in front of upstreams that end while they have a request with the
/// body kBad, and are back at once.
class crashing_upstreams {
 public:
  crashing_upstreams(bool has_model, crash_moment moment) : moment_(moment) {
    if (has_model) {
      relay.map.pools.front().engine = engine_capacity{8, 100000};
    }
    // A crash counts only after a while, and only apart from other crashes.
    tick_ = relay.loop.Every(milliseconds(20), [this] {
      relay.quarantine.Tick(SteadyNow());
      relay.crashing_requests.Tick(SteadyNow());
    });
    relay.SetHandler(
        [this](const received_request& request) { Answer(request); });
  }

  /// Sends one request, waits for its end and returns its record.
  request_record Ask(const std::string& path, const std::string& body,
                     const std::string& headers = "") {
    const size_t before = relay.records.size();
    raw_client client(relay.loop, relay.server.address());
    client.Send(
        fixture::Request(path, "r" + std::to_string(before), headers, body));
    REQUIRE(relay.Await([&] { return relay.records.size() > before; }));
    relay.loop.RunFor(milliseconds(20));
    response = client.received;
    return relay.records.back();
  }
  /// Breaks at one upstream within a second count as one crash.
  void Wait() { relay.loop.RunFor(milliseconds(1050)); }

  fixture relay;
  int crashes = 0;
  std::string response;

 private:
  void Answer(const received_request& request) {
    if (request.body != kBad) {
      request.write(fixture::StreamHead(request) + fixture::EventChunk(1) +
                    "0\r\n\r\n");
      return;
    }
    ++crashes;
    switch (moment_) {
      case crash_moment::kInHead:
        request.close();
        return;
      case crash_moment::kBeforeOutput:
        request.write(fixture::StreamHead(request));
        request.close();
        return;
      case crash_moment::kLongAfterOutput:
        request.write(fixture::StreamHead(request) + fixture::EventChunk(1));
        later_ =
            relay.loop.After(milliseconds(400), [request] { request.close(); });
        return;
    }
  }

  crash_moment moment_;
  event_loop::handle_ptr tick_;
  event_loop::handle_ptr later_;
};

request_key KeyOf(const std::string& target, const std::string& body) {
  return MakeRequestKey({"pool", "POST", target, "", body});
}

}  // namespace

// Guards against a request that comes again and again and ends upstream after
// upstream, whatever its service and whenever it ends them.
TEST_CASE("A request that crashes upstreams is rejected when it comes again",
          "[relay][crashing_request][regression]") {
  const bool has_model = GENERATE(true, false);
  const crash_moment moment =
      GENERATE(crash_moment::kInHead, crash_moment::kBeforeOutput,
               crash_moment::kLongAfterOutput);
  CAPTURE(has_model, static_cast<int>(moment));
  crashing_upstreams upstreams(has_model, moment);
  REQUIRE(upstreams.Ask("/stream/", kBad).status == 502);
  const bool comes_apart = upstreams.crashes == 1;
  upstreams.Wait();
  if (comes_apart) {
    REQUIRE(upstreams.Ask("/stream/", kBad).status == 502);
    upstreams.Wait();
  }
  REQUIRE(upstreams.crashes == 2);
  for (int i = 0; i < 3; ++i) {
    const request_record repeat = upstreams.Ask("/stream/", kBad);
    CHECK(repeat.status == 503);
    CHECK(repeat.reason == "request_crashed");
    CHECK(repeat.total < milliseconds(100));
    CHECK(upstreams.response.find("Retry-After: ") != std::string::npos);
    CHECK(repeat.request_key == upstreams.relay.failed_attempts[0].request_key);
  }
  CHECK(upstreams.crashes == 2);
  SECTION("others are not") {
    CHECK(upstreams.Ask("/stream/", "sound").status == 200);
    CHECK(upstreams.Ask("/stream/?other", "sound").status == 200);
    upstreams.Ask("/stream/?other", kBad);
    CHECK(upstreams.crashes > 2);
  }
}

// Guards against a node that sends a request that its peers know.
TEST_CASE("A request that peers have quarantined is rejected at once",
          "[relay][crashing_request]") {
  crashing_upstreams upstreams(false, crash_moment::kInHead);
  request_notice notice;
  notice.quarantined = {
      {KeyOf("/once/a", kBad), milliseconds(500), milliseconds(60000), 0}};
  upstreams.relay.crashing_requests.OnNotice(notice, SteadyNow());
  const request_record rejected = upstreams.Ask("/once/a", kBad);
  CHECK(rejected.status == 503);
  CHECK(rejected.reason == "request_crashed");
  CHECK(upstreams.crashes == 0);
  CHECK(upstreams.Ask("/once/a", "sound").status == 200);
}

// Guards against crashes by requests that were on their way to an upstream when
// the same request was found to crash them.
TEST_CASE("An attempt that waits is recalled when its request is quarantined",
          "[relay][crashing_request][regression]") {
  crashing_upstreams upstreams(GENERATE(true, false), crash_moment::kInHead);
  fixture& relay = upstreams.relay;
  relay.SetHandler([](const received_request&) {});
  raw_client client(relay.loop, relay.server.address());
  client.Send(fixture::Request("/stream/", "r1", "", kBad));
  REQUIRE(relay.Await([&] { return relay.RequestCount() == 1; }));
  request_notice notice;
  notice.quarantined = {
      {KeyOf("/stream/", kBad), milliseconds(500), milliseconds(60000), 0}};
  relay.crashing_requests.OnNotice(notice, SteadyNow());
  REQUIRE(relay.Await([&] { return !relay.records.empty(); }));
  // The upstream may have run it.
  CHECK(relay.records.back().status == 502);
  CHECK(relay.records.back().reason == "request_crashed");
  CHECK(relay.Await([&] { return *relay.FirstRequest().closed; }));
}

// Guards against a sound request that is often repeated and is refused because
// an upstream that had it crashed for another reason.
TEST_CASE("Alike requests at an upstream that crashes once are not refused",
          "[relay][crashing_request]") {
  crashing_upstreams upstreams(false, crash_moment::kInHead);
  fixture& relay = upstreams.relay;
  constexpr size_t kCopies = 10;
  relay.SetHandler([](const received_request&) {});
  std::vector<std::unique_ptr<raw_client>> clients;
  for (size_t i = 0; i < kCopies; ++i) {
    clients.push_back(
        std::make_unique<raw_client>(relay.loop, relay.server.address()));
    clients.back()->Send(
        fixture::Request("/once/", "r" + std::to_string(i), "", "sound"));
  }
  REQUIRE(relay.Await([&] { return relay.RequestCount() == kCopies; }));
  for (const received_request& request : relay.first_upstream.requests) {
    request.close();
  }
  for (const received_request& request : relay.second_upstream.requests) {
    request.write(fixture::Response(request, "x"));
  }
  REQUIRE(relay.Await([&] { return relay.records.size() == kCopies; }));
  relay.SetHandler([](const received_request& request) {
    request.write(fixture::Response(request, "x"));
  });
  for (int i = 0; i < 5; ++i) {
    CHECK(upstreams.Ask("/once/", "sound").status == 200);
  }
}

// Guards against sound parts that are quarantined for the crashes of a request
// that holds them.
TEST_CASE("A crash by a quarantined request is not held against prompt parts",
          "[relay][quarantine][crashing_request]") {
  crashing_upstreams upstreams(true, crash_moment::kInHead);
  fixture& relay = upstreams.relay;
  const bool is_quarantined = GENERATE(true, false);
  event_loop::handle_ptr crash;
  relay.SetHandler([&](const received_request& request) {
    request.write(fixture::StreamHead(request) + fixture::EventChunk(1));
    crash = relay.loop.After(milliseconds(60), [&, request] {
      request_notice notice;
      notice.quarantined = {
          {KeyOf("/stream/", kBad), milliseconds(500), milliseconds(60000), 0}};
      if (is_quarantined) {
        relay.crashing_requests.OnNotice(notice, SteadyNow());
      }
      request.close();
    });
  });
  CHECK(
      upstreams.Ask("/stream/", kBad, "X-Tokens: 10,5\r\nX-Parts: a:5,b:5\r\n")
          .status == 502);
  CHECK(relay.quarantine.HasUnconfirmedCrashes(SteadyNow()) != is_quarantined);
}

TEST_CASE("A connection that is refused is no crash of the request",
          "[relay][crashing_request]") {
  crashing_upstreams upstreams(false, crash_moment::kInHead);
  fixture& relay = upstreams.relay;
  relay.first_upstream.StopListening();
  relay.second_upstream.StopListening();
  for (int i = 0; i < 3; ++i) {
    CHECK(upstreams.Ask("/once/", "sound").reason != "request_crashed");
  }
  CHECK(relay.crashing_requests.SuspectCount() == 0);
}

// Guards against a trial after a quarantine that recalls itself.
TEST_CASE("The one attempt after a quarantine is not recalled",
          "[relay][crashing_request]") {
  crashing_upstreams upstreams(false, crash_moment::kInHead);
  fixture& relay = upstreams.relay;
  request_notice notice;
  notice.quarantined = {
      {KeyOf("/once/", "was bad"), milliseconds(5000), milliseconds(1500), 0}};
  relay.crashing_requests.OnNotice(notice, SteadyNow());
  REQUIRE(upstreams.Ask("/once/", "was bad").status == 503);
  relay.loop.RunFor(milliseconds(1600));
  event_loop::handle_ptr later;
  relay.SetHandler([&](const received_request& request) {
    later = relay.loop.After(milliseconds(300), [request] {
      request.write(fixture::Response(request, "x"));
    });
  });
  CHECK(upstreams.Ask("/once/", "was bad").status == 200);
  CHECK(upstreams.Ask("/once/", "was bad").status == 200);
}

// Guards against a request whose crashes are forgotten because an upstream
// answers it with an error.
TEST_CASE("An error answer does not clear a request that crashed upstreams",
          "[relay][crashing_request][regression]") {
  crashing_upstreams upstreams(false, crash_moment::kInHead);
  fixture& relay = upstreams.relay;
  REQUIRE(upstreams.Ask("/once/", kBad).status == 502);
  upstreams.Wait();
  const request_key key = KeyOf("/once/", kBad);
  relay.SetHandler([](const received_request& request) {
    request.write(
        "HTTP/1.1 500 Error\r\nX-Id: " + request.head.headers.Get("X-Id") +
        "\r\nX-Sig: s\r\nContent-Length: 0\r\n\r\n");
  });
  REQUIRE(upstreams.Ask("/once/", kBad).status == 500);
  relay.crashing_requests.RecordCrash(77, key, SteadyNow(), SteadyNow());
  CHECK(relay.crashing_requests.Decide(key, SteadyNow()).decision ==
        quarantine_decision::kRequestCrashed);
}

// Guards against sound requests that are rejected after planned ends of
// upstreams.
TEST_CASE("An upstream that leaves does not crash by its requests",
          "[relay][crashing_request][regression]") {
  crashing_upstreams upstreams(false, crash_moment::kInHead);
  fixture& relay = upstreams.relay;
  relay.SetHandler([&relay](const received_request& request) {
    const time_point now = SteadyNow();
    relay.balancer.RecordLeaving(fixture::Entry("one", relay.first_upstream),
                                 now, now);
    relay.balancer.RecordLeaving(fixture::Entry("two", relay.second_upstream),
                                 now, now);
    request.close();
  });
  REQUIRE(upstreams.Ask("/once/", kBad).status == 502);
  CHECK(relay.crashing_requests.SuspectCount() == 0);
}

}  // namespace skylarkcroft
