#include <catch2/catch.hpp>
#include <memory>
#include <optional>

#include "skylarkcroft/wire/skylarkcroft_connect_check.h"
#include "tests/relay/scripted_upstream.h"

namespace skylarkcroft {

TEST_CASE("A check of a process that listens or has ended",
          "[wire][connect_check]") {
  event_loop loop;
  scripted_upstream peer(loop);
  const bool listens = GENERATE(true, false);
  if (!listens) {
    peer.StopListening();
  }
  std::optional<connect_outcome> outcome;
  std::unique_ptr<connect_check> check;
  check = std::make_unique<connect_check>(
      loop, peer.address(), milliseconds(5000), [&](connect_outcome reported) {
        outcome = reported;
        loop.Defer([&] { check.reset(); });
        loop.Stop();
      });
  CHECK_FALSE(outcome.has_value());
  loop.RunFor(milliseconds(5000));
  CHECK(outcome ==
        (listens ? connect_outcome::kAccepted : connect_outcome::kRefused));
}

}  // namespace skylarkcroft
