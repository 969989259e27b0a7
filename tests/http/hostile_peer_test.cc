#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <catch2/catch.hpp>
#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "skylarkcroft/http/skylarkcroft_http_server.h"
#include "skylarkcroft/internal/skylarkcroft_event_loop.h"
#include "tests/node/raw_caller.h"

namespace skylarkcroft {
namespace {

using Catch::Matchers::Contains;
using Catch::Matchers::StartsWith;

constexpr milliseconds kTestLimit{10000};
constexpr milliseconds kPollPeriod{5};

http_server_limits SmallLimits() {
  http_server_limits limits;
  limits.max_header_bytes = 2048;
  limits.max_body_bytes = 64 * 1024;
  limits.io_timeout = milliseconds(60000);
  return limits;
}

// A server and raw connections to it on one loop.
struct hostile_bench {
  explicit hostile_bench(const http_server_limits& limits,
                         http_handler_fn handler)
      : server(loop, {"127.0.0.1", 0}, limits, std::move(handler)) {}

  // Runs the loop until `done`; fails the test when it takes too long.
  void Until(const std::function<bool()>& done) {
    const auto poll = loop.Every(kPollPeriod, [&] {
      if (done()) {
        loop.Stop();
      }
    });
    loop.RunFor(kTestLimit);
    REQUIRE(done());
  }

  event_loop loop;
  http_server server;
};

// One raw connection that collects what the server sends.
class raw_peer {
 public:
  explicit raw_peer(hostile_bench& bench)
      : fd_(socket(AF_INET, SOCK_STREAM, 0)) {
    const endpoint& server = bench.server.address();
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(server.port);
    inet_pton(AF_INET, server.host.c_str(), &address.sin_addr);
    REQUIRE(connect(fd_, reinterpret_cast<sockaddr*>(&address),
                    sizeof(address)) == 0);
    fcntl(fd_, F_SETFL, O_NONBLOCK);
    reading_ = bench.loop.OnReadable(fd_, [this] { Read(); });
  }
  ~raw_peer() {
    reading_.reset();
    close(fd_);
  }
  raw_peer(const raw_peer&) = delete;
  raw_peer& operator=(const raw_peer&) = delete;

  // Sends what the socket takes at once and returns how much that is.
  size_t Send(const std::string& text) {
    const ssize_t sent = send(fd_, text.data(), text.size(), MSG_NOSIGNAL);
    return sent < 0 ? 0 : static_cast<size_t>(sent);
  }
  void HalfClose() { shutdown(fd_, SHUT_WR); }

  const std::string& received() const { return received_; }
  bool closed() const { return closed_; }

 private:
  void Read() {
    std::array<char, 4096> block{};
    const ssize_t size = recv(fd_, block.data(), block.size(), 0);
    if (size > 0) {
      received_.append(block.data(), static_cast<size_t>(size));
      return;
    }
    closed_ = true;
    reading_.reset();
  }

  int fd_;
  std::string received_;
  bool closed_ = false;
  event_loop::handle_ptr reading_;
};

http_handler_fn CountAndAnswer(size_t& seen) {
  return [&seen](const http_exchange_ptr& exchange) {
    ++seen;
    exchange->Reply({200, {}, "answer to " + exchange->request().target});
  };
}

// Whether nothing listens at the address.
bool ConnectFails(const endpoint& server) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(server.port);
  inet_pton(AF_INET, server.host.c_str(), &address.sin_addr);
  const int fd = socket(AF_INET, SOCK_STREAM, 0);
  const int connected =
      connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address));
  close(fd);
  return connected != 0;
}

TEST_CASE("a request trickled a byte at a time is ended with 408",
          "[http][hostile]") {
  size_t seen = 0;
  http_server_limits limits = SmallLimits();
  limits.request_timeout = milliseconds(200);
  hostile_bench bench(limits, CountAndAnswer(seen));
  raw_peer peer(bench);
  SECTION("in its headers") { peer.Send("GET / HTTP/1.1\r\nX: "); }
  SECTION("in its body") {
    peer.Send("POST / HTTP/1.1\r\nContent-Length: 60000\r\n\r\n");
  }
  const auto trickle =
      bench.loop.Every(milliseconds(10), [&] { peer.Send("x"); });
  bench.Until([&] { return peer.closed(); });
  CHECK_THAT(peer.received(), StartsWith("HTTP/1.1 408 "));
  CHECK(seen == 0);
}

TEST_CASE("an answer may take longer than receiving a request may",
          "[http][hostile]") {
  http_server_limits limits = SmallLimits();
  limits.request_timeout = milliseconds(50);
  http_exchange_ptr kept;
  hostile_bench bench(limits,
                      [&](const http_exchange_ptr& got) { kept = got; });
  raw_peer peer(bench);
  peer.Send("GET / HTTP/1.1\r\n\r\nGET /next HTTP/1.1\r\n\r\n");
  bench.Until([&] { return kept != nullptr; });
  bench.loop.RunFor(milliseconds(500));
  REQUIRE_FALSE(kept->closed());
  const http_exchange_ptr first = std::move(kept);
  kept = nullptr;
  first->Reply({200, {}, "late"});
  bench.Until([&] { return kept != nullptr; });
  CHECK(kept->request().target == "/next");
  CHECK_THAT(peer.received(), Contains("late"));
}

// Guards against requests that are lost because their connection is closed as
// silent while they lie whole in its socket.
TEST_CASE("a request that arrives while the loop stands still is answered",
          "[http][connection_end]") {
  size_t seen = 0;
  http_server_limits limits = SmallLimits();
  limits.io_timeout = milliseconds(200);
  hostile_bench bench(limits, CountAndAnswer(seen));
  raw_peer peer(bench);
  const std::string request = "GET / HTTP/1.1\r\n\r\n";
  SECTION("as the first of its connection") {}
  SECTION("as the second of its connection") {
    peer.Send(request);
    bench.Until([&] { return seen == 1; });
  }
  bench.loop.RunFor(milliseconds(20));
  const size_t seen_before = seen;
  peer.Send(request);
  std::this_thread::sleep_for(2 * limits.io_timeout);
  bench.Until([&] { return seen > seen_before || peer.closed(); });
  CHECK(seen == seen_before + 1);
}

// Guards against a request that is overdue only because the loop stood still
// while its rest lay in the socket.
TEST_CASE("a large request whose rest arrives in a pause of the loop is read",
          "[http][connection_end]") {
  constexpr size_t kBodyBytes = 60000;
  size_t seen = 0;
  http_server_limits limits = SmallLimits();
  limits.request_timeout = milliseconds(200);
  hostile_bench bench(limits, CountAndAnswer(seen));
  raw_peer peer(bench);
  peer.Send("POST / HTTP/1.1\r\nContent-Length: " + std::to_string(kBodyBytes) +
            "\r\n\r\nx");
  bench.loop.RunFor(milliseconds(20));
  REQUIRE(peer.Send(std::string(kBodyBytes - 1, 'x')) == kBodyBytes - 1);
  std::this_thread::sleep_for(2 * limits.request_timeout);
  bench.Until([&] { return !peer.received().empty() || peer.closed(); });
  CHECK_THAT(peer.received(), Contains("answer to /"));
  CHECK(seen == 1);
}

// Guards against answers that are cut while a caller on a slow link takes them.
TEST_CASE("an answer may be taken for longer than a caller may be silent",
          "[http][connection_end]") {
  constexpr size_t kBodyBytes = 32 * 1024 * 1024;
  http_server_limits limits = SmallLimits();
  limits.io_timeout = milliseconds(300);
  hostile_bench bench(limits, [&](const http_exchange_ptr& exchange) {
    exchange->Reply({200, {}, std::string(kBodyBytes, 'x')});
  });
  raw_caller caller(bench.loop, bench.server.address());
  caller.Send("GET / HTTP/1.1\r\n\r\n");
  const auto reading = bench.loop.Every(
      milliseconds(30), [&] { caller.ReadUpTo(kBodyBytes / 40); });
  bench.Until(
      [&] { return caller.received().size() > kBodyBytes || caller.closed(); });
  CHECK(caller.received().size() > kBodyBytes);
}

TEST_CASE("a connection without a request is closed after the silence",
          "[http][connection_end]") {
  size_t seen = 0;
  http_server_limits limits = SmallLimits();
  limits.io_timeout = milliseconds(100);
  hostile_bench bench(limits, CountAndAnswer(seen));
  raw_peer peer(bench);
  SECTION("that has sent nothing") {}
  SECTION("that has sent part of a request") { peer.Send("GET / HT"); }
  SECTION("that has had its answer") { peer.Send("GET / HTTP/1.1\r\n\r\n"); }
  bench.Until([&] { return peer.closed(); });
  CHECK(peer.closed());
}

TEST_CASE("a flood of headers is ended with a 4xx", "[http][hostile]") {
  size_t seen = 0;
  hostile_bench bench(SmallLimits(), CountAndAnswer(seen));
  raw_peer peer(bench);
  SECTION("of many fields") {
    std::string flood = "GET / HTTP/1.1\r\n";
    for (int field = 0; field < 1000; ++field) {
      flood += "X-" + std::to_string(field) + ": y\r\n";
    }
    peer.Send(flood + "\r\n");
  }
  SECTION("of one endless field") {
    peer.Send("GET / HTTP/1.1\r\nX: " + std::string(20000, 'x'));
  }
  SECTION("of one endless target") {
    peer.Send("GET /" + std::string(20000, 'x'));
  }
  bench.Until([&] { return peer.closed(); });
  CHECK_THAT(peer.received(), StartsWith("HTTP/1.1 4"));
  CHECK(seen == 0);
}

TEST_CASE("an oversized body is answered 413 and not kept", "[http][hostile]") {
  size_t seen = 0;
  hostile_bench bench(SmallLimits(), CountAndAnswer(seen));
  raw_peer peer(bench);
  const std::string block(16 * 1024, 'x');
  size_t left = 1024 * 1024;
  std::function<void()> send_more;
  SECTION("with its length told") {
    peer.Send("POST / HTTP/1.1\r\nContent-Length: " + std::to_string(left) +
              "\r\n\r\n");
    send_more = [&] { left -= peer.Send(block.substr(0, left)); };
  }
  SECTION("in chunks") {
    peer.Send("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n");
    send_more = [&] { peer.Send("400\r\n" + std::string(1024, 'x') + "\r\n"); };
  }
  const auto sending = bench.loop.Every(milliseconds(1), send_more);
  bench.Until([&] { return peer.closed(); });
  CHECK_THAT(peer.received(), StartsWith("HTTP/1.1 413 "));
  CHECK(seen == 0);
}

TEST_CASE("text that is not HTTP is answered 400", "[http][hostile]") {
  size_t seen = 0;
  hostile_bench bench(SmallLimits(), CountAndAnswer(seen));
  raw_peer peer(bench);
  SECTION("garbage") { peer.Send("\x16\x03\x01 nonsense\r\n\r\n"); }
  SECTION("a field without a colon") {
    peer.Send("GET / HTTP/1.1\r\nnonsense\r\n\r\n");
  }
  SECTION("a length that is not a number") {
    peer.Send("POST / HTTP/1.1\r\nContent-Length: ten\r\n\r\n");
  }
  SECTION("a negative length") {
    peer.Send("POST / HTTP/1.1\r\nContent-Length: -1\r\n\r\n");
  }
  bench.Until([&] { return peer.closed(); });
  CHECK_THAT(peer.received(), StartsWith("HTTP/1.1 4"));
  CHECK(seen == 0);
}

TEST_CASE("a half-closed connection is ended", "[http][hostile]") {
  http_exchange_ptr kept;
  bool gone = false;
  hostile_bench bench(SmallLimits(), [&](const http_exchange_ptr& got) {
    kept = got;
    kept->OnPeerGone([&] { gone = true; });
  });
  raw_peer peer(bench);
  SECTION("within a request, which is not handled") {
    peer.Send("POST / HTTP/1.1\r\nContent-Length: 10\r\n\r\nhalf");
    peer.HalfClose();
    bench.Until([&] { return peer.closed(); });
    CHECK(kept == nullptr);
  }
  SECTION("while its request is answered") {
    peer.Send("GET / HTTP/1.1\r\n\r\n");
    bench.Until([&] { return kept != nullptr; });
    peer.HalfClose();
    bench.Until([&] { return gone; });
    CHECK(kept->closed());
    kept->Reply({200, {}, "ignored"});
  }
}

// Guards against work for peers that are gone: their requests are read before
// the end of their streams.
TEST_CASE("requests whose peers left while the loop stood still are not begun",
          "[http][gone][regression]") {
  size_t seen = 0;
  hostile_bench bench(SmallLimits(), CountAndAnswer(seen));
  constexpr int kPeers = 20;
  for (int i = 0; i < kPeers; ++i) {
    raw_peer peer(bench);
    peer.Send("POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nhi");
  }
  bench.Until([&] {
    return bench.server.connections_accepted() == kPeers &&
           bench.server.open_connections() == 0;
  });
  CHECK(seen == 0);
}

TEST_CASE("pipelined requests are answered one after the other, in order",
          "[http][hostile]") {
  size_t seen = 0;
  hostile_bench bench(SmallLimits(), CountAndAnswer(seen));
  raw_peer peer(bench);
  std::string requests;
  for (int number = 0; number < 20; ++number) {
    requests += "GET /" + std::to_string(number) + "; HTTP/1.1\r\n\r\n";
  }
  peer.Send(requests);
  bench.Until(
      [&] { return peer.received().find("/19;") != std::string::npos; });
  CHECK(seen == 20);
  size_t last = 0;
  for (int number = 0; number < 20; ++number) {
    const size_t found =
        peer.received().find("/" + std::to_string(number) + ";");
    CHECK(found >= last);
    last = found;
  }
}

// Guards against connections that are reset because the kernel holds them when
// the server stops accepting.
TEST_CASE("a connection that waits to be accepted is served before the stop",
          "[http][connection_end]") {
  size_t seen = 0;
  hostile_bench bench(SmallLimits(), CountAndAnswer(seen));
  raw_peer first(bench);
  raw_peer second(bench);
  first.Send("GET /1 HTTP/1.1\r\n\r\n");
  second.Send("GET /2 HTTP/1.1\r\n\r\n");
  bench.server.StopAccepting();
  bench.Until([&] {
    return (first.closed() || !first.received().empty()) &&
           (second.closed() || !second.received().empty());
  });
  CHECK_THAT(first.received(), Contains("answer to /1"));
  CHECK_THAT(second.received(), Contains("answer to /2"));
  CHECK(seen == 2);
  CHECK(ConnectFails(bench.server.address()));
}

TEST_CASE("bytes sent behind a request under way are bounded",
          "[http][hostile]") {
  http_exchange_ptr kept;
  hostile_bench bench(SmallLimits(),
                      [&](const http_exchange_ptr& got) { kept = got; });
  raw_peer peer(bench);
  peer.Send("GET / HTTP/1.1\r\n\r\n");
  bench.Until([&] { return kept != nullptr; });
  SECTION("while it waits") {}
  SECTION("while it is answered") {
    kept->Start(200, {});
    kept->Write("first");
  }
  constexpr size_t kFlood = 256 * 1024 * 1024;
  constexpr int kStalled = 50;
  const std::string block(256 * 1024, 'x');
  size_t sent = 0;
  int stalls = 0;
  const auto flooding = bench.loop.Every(milliseconds(1), [&] {
    const size_t taken = peer.Send(block);
    sent += taken;
    stalls = taken == 0 ? stalls + 1 : 0;
  });
  bench.Until([&] { return stalls >= kStalled || sent >= kFlood; });
  CHECK(sent < kFlood);
  CHECK_FALSE(kept->closed());
}

TEST_CASE("connections that come and go leave nothing behind",
          "[http][hostile]") {
  size_t seen = 0;
  http_server_limits limits = SmallLimits();
  limits.request_timeout = milliseconds(20);
  hostile_bench bench(limits, CountAndAnswer(seen));
  constexpr size_t kConnections = 50;
  for (size_t number = 0; number < kConnections; ++number) {
    raw_peer peer(bench);
    peer.Send("GET / HTTP/1.1\r\n\r\n");
    bench.Until([&] { return !peer.received().empty(); });
  }
  bench.Until([&] { return bench.server.open_connections() == 0; });
  CHECK(bench.server.connections_accepted() == kConnections);
  CHECK(seen == kConnections);
}

}  // namespace

// Guards against peers that take all descriptors or much memory at a listener
// that only a few processes ask.
TEST_CASE("One connection too many ends the one that is silent longest",
          "[http][hostile]") {
  constexpr size_t kMost = 4;
  http_server_limits limits = SmallLimits();
  limits.max_connections = kMost;
  event_loop loop;
  http_server server(loop, {"127.0.0.1", 0}, limits,
                     [](const http_exchange_ptr& exchange) {
                       exchange->Reply({200, {}, "ready"});
                     });
  std::vector<std::unique_ptr<raw_caller>> silent;
  for (size_t i = 0; i < 3 * kMost; ++i) {
    silent.push_back(std::make_unique<raw_caller>(loop, server.address()));
    loop.RunFor(kPollPeriod);
  }
  CHECK(server.open_connections() <= kMost + 1);
  raw_caller asking(loop, server.address());
  asking.Send("GET /ready HTTP/1.1\r\nHost: h\r\n\r\n");
  loop.RunFor(milliseconds(200));
  asking.ReadRest();
  CHECK_THAT(asking.received(), Contains("ready"));
}
}  // namespace skylarkcroft
