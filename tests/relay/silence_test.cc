#include <algorithm>
#include <catch2/catch.hpp>
#include <string>

#include "tests/relay/relay_fixture.h"

namespace skylarkcroft {
namespace {

using received_request = scripted_upstream::received_request;
using fixture = relay_fixture;

// The limits of the tests are a quarter of those in use, to save time.
constexpr milliseconds kSilence{300};
constexpr milliseconds kSilenceToThisNode{750};
constexpr double kServiceSilenceShare = 0.1;

/// A relay with short limits of silence whose first request goes to the first
/// upstream.
class silent_upstreams {
 public:
  explicit silent_upstreams(bool has_model) {
    relay.environment.parameters.engine_silence = kSilence;
    relay.environment.parameters.engine_silence_to_this_node =
        kSilenceToThisNode;
    relay.environment.parameters.service_silence_share = kServiceSilenceShare;
    if (has_model) {
      relay.map.pools.front().engine = engine_capacity{8, 100000};
    }
    relay.balancer.Reset({fixture::Entry("one", relay.first_upstream)},
                         SteadyNow());
    relay.balancer.DropRemoved(SteadyNow() + milliseconds(60000));
  }

  void ListBoth() {
    relay.balancer.Reset({fixture::Entry("one", relay.first_upstream),
                          fixture::Entry("two", relay.second_upstream)},
                         SteadyNow());
  }
  void UseUpBudget() {
    service_retry_budget_parameters none;
    none.share = 0;
    none.reserve = 0;
    relay.retries.SetParameters(none);
  }

  fixture relay;
};

}  // namespace

TEST_CASE("The record of a request tells what followed a silence",
          "[relay][silence][log]") {
  silent_upstreams on(true);
  fixture& relay = on.relay;
  const bool budget_used_up = GENERATE(false, true);
  relay.second_upstream.SetHandler([](const received_request& request) {
    request.write(fixture::Response(request, "two"));
  });
  if (budget_used_up) {
    on.UseUpBudget();
  }
  raw_client client(relay.loop, relay.server.address());
  client.Send(fixture::Request("/safe/", "r1"));
  REQUIRE(relay.Await([&] { return !relay.first_upstream.requests.empty(); }));
  on.ListBoth();
  REQUIRE(relay.Await([&] { return !relay.records.empty(); }));
  CHECK(relay.records.back().silence ==
        (budget_used_up ? "repeats_used_up" : "replaced"));
  const log_entry line = ToLogEntry(relay.records.back());
  CHECK(std::find(line.fields.begin(), line.fields.end(),
                  decltype(line.fields)::value_type{
                      "silence", relay.records.back().silence}) !=
        line.fields.end());
}

}  // namespace skylarkcroft
