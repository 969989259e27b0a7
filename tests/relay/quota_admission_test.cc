#include <catch2/catch.hpp>

#include "tests/relay/relay_fixture.h"

namespace skylarkcroft {
namespace {

constexpr double kBurst = 10000;
constexpr double kLeft = 1300;  // Tokens left for the requests of the tests.

/// A workspace that has used up most of its tokens. `/safe/` is the most urgent
/// route, `/once/` the least urgent one.
class nearly_used_up : public relay_fixture {
 public:
  nearly_used_up() {
    SetHandler([](const scripted_upstream::received_request& request) {
      request.write(Response(request, "ok"));
    });
    workspace_entry workspace;
    workspace.name = "w";
    workspace.keys = {"k"};
    workspace.tokens_per_second = 1;
    workspace.burst_tokens = kBurst;
    workspace.counts_tokens = true;
    map.workspaces = {workspace};
    map.routes[0].rank = 0;
    map.routes[1].rank = 2;
    quotas.Take("w", {1, kBurst}, kBurst - kLeft, 1, SteadyNow());
  }

  /// Sends a request of `tokens` and returns its record.
  request_record Ask(const std::string& path, int tokens) {
    raw_client client(loop, server.address());
    const size_t before = records.size();
    client.Send(Request(
        path, "r" + std::to_string(before),
        "X-Secret: k\r\nX-Tokens: " + std::to_string(tokens) + ",0\r\n"));
    REQUIRE(Await([&] { return records.size() > before; }));
    return records.back();
  }
};

}  // namespace

// Guards against a quota that goes to whoever asks first.
TEST_CASE("What is left of a quota goes to the more urgent route",
          "[relay][quota_order]") {
  nearly_used_up relay;
  const request_record large = relay.Ask("/once/", 2000);
  CHECK(large.status == 429);
  CHECK(large.reason == "over_allotment");
  const request_record later = relay.Ask("/once/", 200);
  CHECK(later.status == 429);
  CHECK(later.reason == "allotment_reserved");
  CHECK(later.allotment_required > later.allotment_level);
  CHECK(later.retry_after > milliseconds(0));
  CHECK(relay.RequestCount() == 0);
  CHECK(relay.Ask("/safe/", 200).status == 200);
}

TEST_CASE("A quota that suffices for all requests is granted in any order",
          "[relay][quota_order]") {
  nearly_used_up relay;
  CHECK(relay.Ask("/once/", 600).status == 200);
  CHECK(relay.Ask("/safe/", 600).status == 200);
}

}  // namespace skylarkcroft
