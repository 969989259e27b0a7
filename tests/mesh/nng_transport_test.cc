#include <catch2/catch.hpp>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "skylarkcroft/internal/skylarkcroft_error.h"
#include "skylarkcroft/mesh/skylarkcroft_nng_transport.h"

namespace skylarkcroft {
namespace {

constexpr milliseconds kTestLimit{10000};
constexpr milliseconds kSendInterval{50};

struct test_transport {
  explicit test_transport(event_loop& loop,
                          const endpoint& listen = {"127.0.0.1", 0})
      : transport(loop, listen, {}, [this, &loop](std::string_view bytes) {
          received.emplace_back(bytes);
          loop.Stop();
        }) {}

  std::vector<std::string> received;
  nng_transport transport;
};

TEST_CASE("messages are received on the event loop", "[mesh][nng]") {
  event_loop loop;
  test_transport left(loop);
  test_transport right(loop);
  CHECK(left.transport.address().port != 0);
  CHECK(left.transport.Send(right.transport.address(), std::string(5, '\0')));
  loop.RunFor(kTestLimit);
  CHECK(right.received == std::vector<std::string>{std::string(5, '\0')});
  SECTION("also after the connection was closed and reopened") {
    left.transport.Redial(right.transport.address());
    CHECK(left.transport.open_links() == 0);
    CHECK(left.transport.Send(right.transport.address(), "again"));
    loop.RunFor(kTestLimit);
    CHECK(right.received.back() == "again");
  }
}

TEST_CASE("the number of messages buffered for an unreachable peer is limited",
          "[mesh][nng]") {
  event_loop loop;
  test_transport left(loop);
  const endpoint nobody = test_transport(loop).transport.address();
  int accepted = 0;
  while (accepted < 1000 && left.transport.Send(nobody, "message")) {
    ++accepted;
  }
  CHECK(accepted <= nng_transport_limits{}.send_buffer + 1);
}

TEST_CASE("messages reach a peer that starts after the first one was sent",
          "[mesh][nng]") {
  event_loop loop;
  test_transport left(loop);
  const endpoint address = test_transport(loop).transport.address();
  left.transport.Send(address, "early");
  loop.RunFor(kSendInterval);
  test_transport late(loop, address);
  const auto repeat = loop.Every(
      kSendInterval, [&] { left.transport.Send(address, "message"); });
  loop.RunFor(kTestLimit);
  CHECK_FALSE(late.received.empty());
}

TEST_CASE("the number of open connections is limited", "[mesh][nng]") {
  event_loop loop;
  nng_transport_limits limits;
  limits.max_links = 2;
  nng_transport bounded(loop, {"127.0.0.1", 0}, limits,
                        [](std::string_view) {});
  test_transport one(loop);
  test_transport two(loop);
  test_transport three(loop);
  bounded.Send(one.transport.address(), "a");
  bounded.Send(two.transport.address(), "b");
  bounded.Send(three.transport.address(), "c");
  CHECK(bounded.open_links() == 2);
}

TEST_CASE("listening on an address in use throws network_error",
          "[mesh][nng]") {
  event_loop loop;
  test_transport taken(loop);
  CHECK_THROWS_AS(test_transport(loop, taken.transport.address()),
                  network_error);
}

}  // namespace
}  // namespace skylarkcroft
