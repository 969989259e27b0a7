#include <catch2/catch.hpp>
#include <vector>

#include "skylarkcroft/relay/skylarkcroft_client_end.h"
#include "tests/relay/relay_fixture.h"

namespace skylarkcroft {

using fixture = relay_fixture;
using received_request = scripted_upstream::received_request;

TEST_CASE("The end of a connection that holds nothing drops nothing",
          "[relay][connection_end]") {
  client_end end;
  CHECK_FALSE(end.DropsBytes());
  end.unsent = 1;
  CHECK(end.DropsBytes());
  end = {};
  end.has_unread = true;
  CHECK(end.DropsBytes());
  end.reason = client_end_reason::kClientGone;
  CHECK_FALSE(end.DropsBytes());
}

TEST_CASE("The line of an ended connection tells what was lost with it",
          "[relay][connection_end]") {
  const log_entry entry =
      ToLogEntry(client_end{client_end_reason::kStalled, true, false, true, 7,
                            true, milliseconds(8), milliseconds(9)});
  CHECK(entry.message == "client connection ended");
  const std::vector<log_field> expected = {{"reason", "stalled"},
                                           {"request_in_flight", "true"},
                                           {"request_partly_read", "false"},
                                           {"unread", "true"},
                                           {"unsent_bytes", "7"},
                                           {"had_request", "true"},
                                           {"idle_ms", "8"},
                                           {"idle_limit_ms", "9"}};
  CHECK(entry.fields == expected);
}

TEST_CASE("The end of a client connection is told once, with its reason",
          "[relay][connection_end]") {
  fixture relay;
  std::vector<client_end> ends;
  relay.environment.on_client_ended = [&](const client_end& end) {
    ends.push_back(end);
  };
  relay.map.limits.idle_timeout = milliseconds(100);
  raw_client idle(relay.loop, relay.server.address());
  REQUIRE(relay.Await([&] { return idle.closed; }));
  REQUIRE(ends.size() == 1);
  client_end expected;
  expected.idle = ends.front().idle;
  expected.idle_limit = milliseconds(100);
  CHECK(ends.front() == expected);
  CHECK(expected.idle >= milliseconds(100));
}

TEST_CASE("A client that leaves is not counted as ended by the node",
          "[relay][connection_end]") {
  fixture relay;
  std::vector<client_end> ends;
  relay.environment.on_client_ended = [&](const client_end& end) {
    ends.push_back(end);
  };
  raw_client client(relay.loop, relay.server.address());
  REQUIRE(relay.Await([&] { return relay.server.clients() == 1; }));
  client.Disconnect();
  REQUIRE(relay.Await([&] { return relay.server.clients() == 0; }));
  CHECK(ends.empty());
}

TEST_CASE("A request that is cut by the exit is told with its connection",
          "[relay][connection_end]") {
  fixture relay;
  std::vector<client_end> ends;
  relay.environment.on_client_ended = [&](const client_end& end) {
    ends.push_back(end);
  };
  raw_client client(relay.loop, relay.server.address());
  client.Send(fixture::Request("/once/", "r1"));
  REQUIRE(relay.Await([&] { return relay.RequestCount() == 1; }));
  relay.server.RecordExit();
  relay.server.RecordExit();
  REQUIRE(ends.size() == 1);
  CHECK(ends.front().reason == client_end_reason::kExit);
  CHECK(ends.front().request_in_flight);
}

}  // namespace skylarkcroft
