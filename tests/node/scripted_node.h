#ifndef SKYLARKCROFT_TESTS_NODE_SCRIPTED_NODE_H_
#define SKYLARKCROFT_TESTS_NODE_SCRIPTED_NODE_H_

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>

#include "tests/node/node_fixture.h"
#include "tests/relay/scripted_upstream.h"

namespace skylarkcroft {

/// A node with one engine whose answers the test writes.
class scripted_node {
 public:
  explicit scripted_node(scripted_upstream::handler answer,
                         const shutdown_settings& shutdown =
                             {milliseconds(50), milliseconds(120000)})
      : fixture(0, 0) {
    fixture.shutdown = shutdown;
    fixture.AddNode();
    engine.SetHandler([this, answer = std::move(answer)](
                          const scripted_upstream::received_request& request) {
      if (request.head.target.starts_with("/load")) {
        const std::string load = Load();
        request.write("HTTP/1.1 200 OK\r\nContent-Length: " +
                      std::to_string(load.size()) + "\r\n\r\n" + load);
        return;
      }
      if (request.head.method != "POST") {
        request.write("HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n");
        return;
      }
      ++tries;
      answer(request);
    });
    nlohmann::json pools = fixture.PoolsDocument();
    pools["pools"][0]["upstreams"] = {{{"name", "e1"},
                                       {"address", ToString(engine.address())},
                                       {"availability_zone", "cairo-a"}}};
    fixture.Put("pools", pools);
    fixture.Put("routes", fixture.RoutesDocument());
    node& first = *fixture.nodes.front();
    REQUIRE(fixture.Until([&] {
      return fixture.Get(first.callers_address(), "/readyz").status == 200 &&
             fixture.RevisionOf(first) == 2;
    }));
  }

  http_response Ask(bool stream) {
    return fixture.Call(fixture.nodes.front()->callers_address(),
                        node_fixture::Completion("p", 4, stream));
  }

  static std::string Head() {
    return "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n";
  }
  static std::string Token(const scripted_upstream::received_request& request,
                           int number) {
    const nlohmann::json data = {
        {"id", request.head.headers.Get("X-Request-Id")},
        {"choices", {{{"text", "t"}, {"finish_reason", nullptr}}}}};
    return "id: " + std::to_string(number) + "\ndata: " + data.dump() + "\n\n";
  }

  node_fixture fixture;
  scripted_upstream engine{fixture.loop};
  int tries = 0;

 private:
  std::string Load() {
    return nlohmann::json({{"seq", ++sequence_},
                           {"sampled_at_ms", 0},
                           {"running", 0},
                           {"waiting", 0},
                           {"slots", 8},
                           {"kv_used_tokens", 0},
                           {"kv_capacity_tokens", 100000},
                           {"decode_tokens_per_s", 100},
                           {"prefill_tokens_per_s", 1000},
                           {"model", "m"},
                           {"version", "1"},
                           {"role", "both"},
                           {"availability_zone", "cairo-a"},
                           {"leaving", false}})
        .dump();
  }

  int sequence_ = 0;
};

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_TESTS_NODE_SCRIPTED_NODE_H_
