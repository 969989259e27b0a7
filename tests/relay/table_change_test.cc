#include <algorithm>
#include <array>
#include <catch2/catch.hpp>
#include <functional>
#include <list>
#include <string>
#include <vector>

#include "tests/relay/relay_fixture.h"

namespace skylarkcroft {
namespace {

using received_request = scripted_upstream::received_request;
using fixture = relay_fixture;

constexpr const char* kFinalChunk = "0\r\n\r\n";
constexpr milliseconds kAfterAll{60000};

/// A change of the tables or of the list of upstreams.
struct table_change {
  std::string name;
  std::function<void(relay_fixture&)> apply;
};

void ChangeRoutes(relay_fixture& relay,
                  const std::function<void(service_route&)>& change) {
  for (service_route& route : relay.map.routes) {
    change(route);
  }
}

void RemoveUpstreams(relay_fixture& relay) {
  relay.balancer.Reset({}, SteadyNow());
  relay.balancer.DropRemoved(SteadyNow() + kAfterAll);
}

/// One change of each field that a request in progress was accepted by.
std::vector<table_change> AllChanges() {
  return {
      {"no routes", [](relay_fixture& on) { on.map.routes.clear(); }},
      {"no pools", [](relay_fixture& on) { on.map.pools.clear(); }},
      {"no tables in all", [](relay_fixture& on) { on.map = service_map{}; }},
      {"another host",
       [](relay_fixture& on) {
         ChangeRoutes(on, [](service_route& route) { route.host = "other"; });
       }},
      {"another service",
       [](relay_fixture& on) {
         ChangeRoutes(on, [](service_route& route) {
           route.services = {{"elsewhere", 1}};
         });
       }},
      {"a timeout that has passed",
       [](relay_fixture& on) {
         ChangeRoutes(
             on, [](service_route& route) { route.timeout = milliseconds(1); });
       }},
      {"one attempt",
       [](relay_fixture& on) {
         ChangeRoutes(on, [](service_route& route) { route.max_attempts = 1; });
       }},
      {"other repetition",
       [](relay_fixture& on) {
         ChangeRoutes(on, [](service_route& route) {
           route.repeat = retry_rule::kOnlyIfNotExecuted;
           route.resumable = false;
         });
       }},
      {"the least urgent rank",
       [](relay_fixture& on) {
         ChangeRoutes(on, [](service_route& route) { route.rank = 2; });
       }},
      {"small limits",
       [](relay_fixture& on) {
         on.map.limits = {1, 1, milliseconds(1), milliseconds(1)};
       }},
      {"a smaller engine",
       [](relay_fixture& on) {
         on.map.pools.front().engine = engine_capacity{1, 1};
       }},
      {"no workspaces", [](relay_fixture& on) { on.map.workspaces.clear(); }},
      {"a used up workspace",
       [](relay_fixture& on) {
         on.map.workspaces.front().tokens_per_second = 0.001;
         on.map.workspaces.front().burst_tokens = 0.001;
       }},
      {"no upstreams", RemoveUpstreams},
  };
}

bool IsStream(const received_request& request) {
  const std::string& path = request.head.target;
  return path == "/stream/" || path == "/resume/";
}

/// Begins an answer: a stream with its first event, anything else not at all.
void Begin(const received_request& request) {
  if (IsStream(request)) {
    request.write(fixture::StreamHead(request) + fixture::EventChunk(1));
  }
}

void Complete(const received_request& request) {
  request.write(IsStream(request) ? fixture::EventChunk(2) + kFinalChunk
                                  : fixture::Response(request, "whole"));
}

/// A request on each route, in progress at the upstreams.
class requests_in_progress {
 public:
  explicit requests_in_progress(bool has_model) {
    if (has_model) {
      relay.map.pools.front().engine = engine_capacity{8, 100000};
    }
    workspace_entry workspace;
    workspace.name = "w";
    workspace.keys = {"k"};
    relay.map.workspaces = {workspace};
    relay.SetHandler(Begin);
    for (const char* path : kPaths) {
      clients.emplace_back(relay.loop, relay.server.address());
      clients.back().Send(fixture::Request(path, path, "X-Secret: k\r\n"));
    }
    REQUIRE(relay.Await([&] { return relay.RequestCount() == kPaths.size(); }));
    relay.loop.RunFor(milliseconds(60));
  }

  void ForEach(const std::function<void(const received_request&)>& call) {
    for (const scripted_upstream* upstream :
         {&relay.first_upstream, &relay.second_upstream}) {
      const std::vector<received_request> received = upstream->requests;
      for (const received_request& request : received) {
        call(request);
      }
    }
  }
  void AwaitAllEnded() {
    REQUIRE(relay.Await([&] { return relay.records.size() == kPaths.size(); }));
    relay.loop.RunFor(milliseconds(50));
  }

  static constexpr std::array<const char*, 4> kPaths{"/safe/", "/once/",
                                                     "/stream/", "/resume/"};
  fixture relay;
  std::list<raw_client> clients;
};

}  // namespace

// Guards against changes of the tables that end requests in progress.
TEST_CASE("A change of the tables leaves requests in progress whole",
          "[relay][table_change]") {
  const bool has_model = GENERATE(true, false);
  for (const table_change& change : AllChanges()) {
    requests_in_progress on(has_model);
    change.apply(on.relay);
    on.relay.loop.RunFor(milliseconds(150));
    on.ForEach(Complete);
    on.AwaitAllEnded();
    for (const raw_client& client : on.clients) {
      INFO(change.name << ": " << client.received);
      CHECK(client.received.starts_with("HTTP/1.1 200"));
      const bool whole = client.received.ends_with("whole") ||
                         client.received.ends_with(kFinalChunk);
      CHECK(whole);
    }
  }
}

// Guards against changes of the tables that take the second attempt from a
// request that was accepted with one.
TEST_CASE("A request goes on by the tables that it was accepted with",
          "[relay][table_change]") {
  const bool has_model = GENERATE(true, false);
  for (const table_change& change : AllChanges()) {
    requests_in_progress on(has_model);
    change.apply(on.relay);
    const bool has_upstreams = on.relay.balancer.UsableCount("pool") > 0;
    on.relay.SetHandler([](const received_request& request) {
      Begin(request);
      Complete(request);
    });
    on.ForEach([](const received_request& request) { request.close(); });
    on.AwaitAllEnded();
    size_t i = 0;
    for (const raw_client& client : on.clients) {
      const std::string path = requests_in_progress::kPaths.at(i++);
      INFO(change.name << " " << path << ": " << client.received);
      if (path == "/stream/" || (path == "/resume/" && !has_upstreams)) {
        CHECK_FALSE(client.received.ends_with(kFinalChunk));
        CHECK(client.closed);
      } else if (path == "/once/" || !has_upstreams) {
        CHECK(client.received.starts_with("HTTP/1.1 502"));
      } else {
        CHECK(client.received.starts_with("HTTP/1.1 200"));
      }
    }
  }
}

// Guards against requests that a change of the tables leaves without an answer.
TEST_CASE("Requests after a change of the tables are answered or refused",
          "[relay][table_change]") {
  const bool in_flight = GENERATE(true, false);
  const bool has_model = GENERATE(true, false);
  for (const table_change& change : AllChanges()) {
    requests_in_progress on(has_model);
    on.ForEach(Complete);
    on.AwaitAllEnded();
    on.relay.SetHandler([](const received_request& request) {
      Begin(request);
      Complete(request);
    });
    // In flight: the request is on its way while the tables change.
    if (!in_flight) {
      change.apply(on.relay);
    }
    for (raw_client& client : on.clients) {
      client.received.clear();
      client.Send(fixture::Request("/safe/", "later", "X-Secret: k\r\n"));
    }
    if (in_flight) {
      change.apply(on.relay);
    }
    REQUIRE(on.relay.Await([&] {
      return std::all_of(
          on.clients.begin(), on.clients.end(), [](const raw_client& client) {
            return client.received.find("\r\n\r\n") != std::string::npos;
          });
    }));
    CHECK(on.relay.server.busy() == 0);
  }
}

}  // namespace skylarkcroft
