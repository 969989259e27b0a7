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
constexpr milliseconds kRepeat{50};

struct listening_end {
  explicit listening_end(event_loop& loop,
                         const endpoint& listen = {"127.0.0.1", 0})
      : transport(loop, listen, {}, [this, &loop](std::string_view bytes) {
          received.emplace_back(bytes);
          loop.Stop();
        }) {}

  std::vector<std::string> received;
  nng_transport transport;
};

TEST_CASE("messages arrive on the loop", "[mesh][nng]") {
  event_loop loop;
  listening_end left(loop);
  listening_end right(loop);
  CHECK(left.transport.address().port != 0);
  CHECK(left.transport.Send(right.transport.address(), std::string(5, '\0')));
  loop.RunFor(kTestLimit);
  CHECK(right.received == std::vector<std::string>{std::string(5, '\0')});
  SECTION("also after the connection was replaced") {
    left.transport.Redial(right.transport.address());
    CHECK(left.transport.open_links() == 0);
    CHECK(left.transport.Send(right.transport.address(), "again"));
    loop.RunFor(kTestLimit);
    CHECK(right.received.back() == "again");
  }
}

TEST_CASE("an unreachable peer holds a bounded number of messages",
          "[mesh][nng]") {
  event_loop loop;
  listening_end left(loop);
  const endpoint nobody = listening_end(loop).transport.address();
  int accepted = 0;
  while (accepted < 1000 && left.transport.Send(nobody, "message")) {
    ++accepted;
  }
  CHECK(accepted <= nng_transport_limits{}.send_buffer + 1);
}

TEST_CASE("a peer that starts late is reached", "[mesh][nng]") {
  event_loop loop;
  listening_end left(loop);
  const endpoint address = listening_end(loop).transport.address();
  left.transport.Send(address, "early");
  loop.RunFor(kRepeat);
  listening_end late(loop, address);
  const auto repeat =
      loop.Every(kRepeat, [&] { left.transport.Send(address, "message"); });
  loop.RunFor(kTestLimit);
  CHECK_FALSE(late.received.empty());
}

TEST_CASE("only so many connections stay open", "[mesh][nng]") {
  event_loop loop;
  nng_transport_limits limits;
  limits.max_links = 2;
  nng_transport bounded(loop, {"127.0.0.1", 0}, limits,
                        [](std::string_view) {});
  listening_end one(loop);
  listening_end two(loop);
  listening_end three(loop);
  bounded.Send(one.transport.address(), "a");
  bounded.Send(two.transport.address(), "b");
  bounded.Send(three.transport.address(), "c");
  CHECK(bounded.open_links() == 2);
}

TEST_CASE("a taken address is an error that names the remedy", "[mesh][nng]") {
  event_loop loop;
  listening_end taken(loop);
  CHECK_THROWS_AS(listening_end(loop, taken.transport.address()),
                  network_error);
}

}  // namespace
}  // namespace skylarkcroft
