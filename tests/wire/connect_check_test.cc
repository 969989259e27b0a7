#include <catch2/catch.hpp>
#include <memory>
#include <optional>

#include "skylarkcroft/wire/skylarkcroft_connect_check.h"
#include "tests/relay/scripted_upstream.h"

namespace skylarkcroft {

TEST_CASE("A check tells what becomes of a connection",
          "[wire][connect_check]") {
  event_loop loop;
  scripted_upstream peer(loop);
  const connect_outcome expected =
      GENERATE(connect_outcome::kAccepted, connect_outcome::kDropped,
               connect_outcome::kRefused);
  if (expected == connect_outcome::kRefused) {
    peer.StopListening();
  } else if (expected == connect_outcome::kDropped) {
    peer.ResetFurtherConnections();
  }
  std::optional<connect_outcome> outcome;
  std::unique_ptr<connect_check> check;
  check = std::make_unique<connect_check>(
      loop, peer.address(),
      connect_check_limits{milliseconds(5000), milliseconds(50)},
      [&](connect_outcome reported) {
        outcome = reported;
        loop.Defer([&] { check.reset(); });
        loop.Stop();
      });
  CHECK_FALSE(outcome.has_value());
  loop.RunFor(milliseconds(5000));
  CHECK(outcome == expected);
}

// Guards against a reset that arrives before the loop has seen the connection
// being taken for a refusal.
TEST_CASE("A connection that was reset before it was seen counts as dropped",
          "[wire][connect_check]") {
  event_loop loop;
  scripted_upstream peer(loop);
  std::optional<connect_outcome> outcome;
  const connect_check check(loop, peer.address(), {},
                            [&](connect_outcome reported) {
                              outcome = reported;
                              loop.Stop();
                            });
  peer.ResetNextConnection();
  loop.RunFor(milliseconds(5000));
  CHECK(outcome == connect_outcome::kDropped);
}

}  // namespace skylarkcroft
