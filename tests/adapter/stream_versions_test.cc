#include <algorithm>
#include <catch2/catch.hpp>
#include <functional>
#include <memory>
#include <string>

#include "tests/adapter/platform_standin.h"
#include "tests/adapter/relay_process.h"
#include "tests/relay/relay_fixture.h"

namespace skylarkcroft {
namespace {

using received_request = scripted_upstream::received_request;

constexpr const char* kConfig = R"({
  "version": 1,
  "routes": [{"name": "r", "host": "shop", "path_prefix": "/a/",
              "kind": "streaming", "timeout_ms": 8000, "service": "pool",
              "attempts": 2, "allow_anonymous": true, "resume_streams": true}],
  "services": [{"name": "pool", "health_path": "/health"}],
  "limits": {}})";

std::string Entry(const endpoint& address, const std::string& version) {
  return R"({"service": "pool", "address": ")" + ToString(address) +
         R"(", "zone": "a", "slots": 8, "state": "ready", "born": 1,
            "version": ")" +
         version + R"("})";
}

std::string Request(const std::string& id, const std::string& more = "") {
  return "POST /a/x HTTP/1.1\r\nHost: shop\r\nX-Attempt-Id: " + id +
         "\r\nX-Remaining-Milliseconds: 8000\r\n" + more +
         "Content-Length: 0\r\n\r\n";
}

/// Upstreams of two versions and a relay node that may lose its memory.
class restarting_node {
 public:
  restarting_node() {
    for (scripted_upstream* upstream : {&older, &newer}) {
      upstream->SetHandler([](const received_request& request) {
        const http_headers& headers = request.head.headers;
        const bool goes_on = headers.Has("Last-Event-Id");
        request.write(
            "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + headers.Get("X-Attempt-Id") +
            "\r\nX-Response-Signature: s\r\n"
            "Content-Type: text/event-stream\r\n"
            "Transfer-Encoding: chunked\r\n\r\n" +
            relay_fixture::EventChunk(goes_on ? 2 : 1) +
            (goes_on ? "0\r\n\r\n" : ""));
      });
    }
    standin.Put("op", "config", kConfig);
    standin.Put("servers", "i-1", Entry(older.address(), "v1"));
    Start(true);
  }
  void Start(bool first) {
    relay = std::make_unique<relay_process>(loop, standin.address(), "n1",
                                            milliseconds(5000), true,
                                            kTestGrace, first);
  }
  /// Repeats a request until its answer does not say that the node has yet to
  /// read its tables or the versions.
  std::string Ask(const std::string& request) {
    std::string received;
    Await([&] {
      raw_client client(loop, relay->address());
      client.Send(request);
      Await([&] {
        return client.received.find("id: ") != std::string::npos ||
               client.received.find("reason") != std::string::npos;
      });
      received = client.received;
      return received.find("tables_unknown") == std::string::npos &&
             received.find("version_not") == std::string::npos &&
             received.find("no_upstream") == std::string::npos;
    });
    return received;
  }
  bool Await(const std::function<bool()>& done) {
    const time_point limit = SteadyNow() + milliseconds(9000);
    while (!done() && SteadyNow() < limit) {
      loop.RunFor(milliseconds(5));
    }
    return done();
  }

  event_loop loop;
  platform_standin standin{loop};
  scripted_upstream older{loop};
  scripted_upstream newer{loop};
  std::unique_ptr<relay_process> relay;
};

/// Whether the upstream got the client's request `id`.
bool Got(const scripted_upstream& upstream, const std::string& id) {
  return std::any_of(upstream.requests.begin(), upstream.requests.end(),
                     [&](const received_request& request) {
                       return request.head.headers.Get("X-Attempt-Id") == id;
                     });
}

bool Has(const std::string& text, const std::string& part) {
  return text.find(part) != std::string::npos;
}

}  // namespace

// Guards against text joined from two software versions after every node has
// lost its memory: the version is known from the store only.
TEST_CASE("A node that has lost its memory takes streams up at their version",
          "[adapter][node][streams][regression]") {
  restarting_node node;
  node.standin.era = GENERATE(0, 1);
  REQUIRE(Has(node.Ask(Request("r1")), "id: 1"));
  SECTION("of which the only version is listed") {
    node.relay.reset();
    node.standin.Put("servers", "i-2", Entry(node.newer.address(), "v2"));
    node.Start(false);
    // A stream that began while there was one version, and is in no row, may be
    // of either as soon as the second is listed.
    const std::string answer =
        node.Ask(Request("r2", "Resumes: r1\r\nLast-Event-Id: 1\r\n"));
    CHECK((Has(answer, "version_unknown") || Has(answer, "id: 2")));
    CHECK_FALSE(Got(node.newer, "r2"));
  }
  SECTION("of which there are several") {
    node.standin.Put("servers", "i-2", Entry(node.newer.address(), "v2"));
    node.standin.Drop("servers", "i-1");
    int begun = 1;
    REQUIRE(node.Await([&] {
      ++begun;
      node.Ask(Request("r" + std::to_string(begun)));
      return Got(node.newer, "r" + std::to_string(begun));
    }));
    node.standin.Put("servers", "i-1", Entry(node.older.address(), "v1"));
    const std::string of_newer = "r" + std::to_string(begun);
    // A node without peers begins to write some time after its start; the
    // streams begun since are in the next write.
    REQUIRE(node.Await([&] { return node.standin.Has("streams", "node/n1"); }));
    const time_point next_write = SteadyNow() + milliseconds(1000);
    node.Await([&] { return SteadyNow() > next_write; });
    node.relay.reset();
    node.Start(false);
    CHECK(Has(node.Ask(Request(
                  "t1", "Resumes: " + of_newer + "\r\nLast-Event-Id: 1\r\n")),
              "id: 2"));
    CHECK(Got(node.newer, "t1"));
    CHECK_FALSE(Got(node.older, "t1"));
    CHECK(Has(node.Ask(Request("t2", "Resumes: r1\r\nLast-Event-Id: 1\r\n")),
              "id: 2"));
    CHECK(Got(node.older, "t2"));
    CHECK_FALSE(Got(node.newer, "t2"));
    CHECK(Has(node.Ask(Request("t3", "Resumes: other\r\nLast-Event-Id: 1\r\n")),
              "version_unknown"));
    CHECK(Has(node.Ask(Request("t4", "Last-Event-Id: 1\r\n")),
              "version_unknown"));
    node.standin.Drop("servers", "i-2");
    CHECK(node.Await([&] {
      return Has(node.Ask(Request("t5", "Resumes: " + of_newer +
                                            "\r\nLast-Event-Id: 1\r\n")),
                 "version_unavailable");
    }));
    for (const char* id : {"t3", "t4", "t5"}) {
      CHECK_FALSE(Got(node.older, id));
    }
  }
}

}  // namespace skylarkcroft
