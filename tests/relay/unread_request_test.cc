#include <array>
#include <catch2/catch.hpp>
#include <string>
#include <thread>

#include "tests/relay/relay_fixture.h"

namespace skylarkcroft {
namespace {

using fixture = relay_fixture;

constexpr size_t kBodyBytes = 524288;

/// Accepts one connection after `pause` and answers its request; until then the
/// kernel takes what its small buffer holds.
class late_reader {
 public:
  explicit late_reader(milliseconds pause)
      : thread_([this, pause] { Serve(pause); }) {}
  ~late_reader() { thread_.join(); }
  late_reader(const late_reader&) = delete;
  late_reader& operator=(const late_reader&) = delete;

  [[nodiscard]] endpoint address() const { return listener_.address(); }

 private:
  void Serve(milliseconds pause) const {
    std::this_thread::sleep_for(pause);
    listener_.AnswerOne(kBodyBytes,
                        "HTTP/1.1 200 OK\r\nX-Id: r1\r\nX-Sig: s\r\n"
                        "Content-Length: 4\r\n\r\nread");
  }

  slow_listener listener_;
  std::thread thread_;
};

}  // namespace

// Guards against requests that are broken off because a sound upstream does not
// read for a while: its kernel acknowledges what its buffer holds, and no more.
TEST_CASE("A request that its upstream reads late is not broken off",
          "[relay][silence][regression]") {
  const late_reader upstream(milliseconds(1500));
  fixture relay;
  upstream_entry entry = fixture::Entry("late", relay.first_upstream);
  entry.address = upstream.address();
  relay.balancer.Reset({entry}, SteadyNow());
  relay.balancer.DropRemoved(SteadyNow() + milliseconds(60000));
  raw_client client(relay.loop, relay.server.address());
  client.Send(
      "POST /once/ HTTP/1.1\r\nHost: shop\r\nX-Id: r1\r\nX-Left: 2900"
      "\r\nContent-Length: " +
      std::to_string(kBodyBytes) + "\r\n\r\n" + std::string(kBodyBytes, 'x'));
  REQUIRE(relay.Await([&] { return !relay.records.empty(); }));
  relay.loop.RunFor(milliseconds(50));
  INFO(client.received);
  CHECK(relay.records.back().last_failure.empty());
  CHECK(client.received.starts_with("HTTP/1.1 200"));
  CHECK(client.received.ends_with("read"));
}

}  // namespace skylarkcroft
