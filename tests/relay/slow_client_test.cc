#include <algorithm>
#include <array>
#include <atomic>
#include <catch2/catch.hpp>
#include <string>
#include <thread>

#include "tests/relay/relay_fixture.h"

namespace skylarkcroft {
namespace {

using received_request = scripted_upstream::received_request;
using fixture = relay_fixture;

constexpr milliseconds kSilence{300};
constexpr milliseconds kClientPause{900};
constexpr const char* kFinalChunk = "0\r\n\r\n";
constexpr int kEvents = 200;
constexpr size_t kEventBytes = 65536;

/// An event of kEventBytes as one chunk.
std::string LargeEvent(int id) {
  std::string event = "id: " + std::to_string(id) + "\ndata: ";
  event.append(kEventBytes - event.size() - 2, 'x').append("\n\n");
  return "10000\r\n" + event + "\r\n";
}

/// A client that sends a request, reads nothing for a while and then all.
class slow_client {
 public:
  slow_client(const endpoint& address, const std::string& request)
      : thread_([this, address, request] { Run(address, request); }) {}
  ~slow_client() { thread_.join(); }
  slow_client(const slow_client&) = delete;
  slow_client& operator=(const slow_client&) = delete;

  [[nodiscard]] bool done() const { return done_; }
  /// The last bytes that arrived; to be read when done.
  [[nodiscard]] const std::string& tail() const { return tail_; }

 private:
  void Run(const endpoint& address, const std::string& request) {
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int receive_buffer_bytes = 4096;
    setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &receive_buffer_bytes,
               sizeof receive_buffer_bytes);
    const timeval limit{3, 0};
    setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
    const sockaddr_in peer = ToSocketAddress(address);
    const bool connected =
        connect(fd, reinterpret_cast<const sockaddr*>(&peer), sizeof peer) == 0;
    if (!connected) {
      close(fd);
      done_ = true;
      return;
    }
    send(fd, request.data(), request.size(), MSG_NOSIGNAL);
    std::this_thread::sleep_for(kClientPause);
    std::array<char, kEventBytes> block{};
    ssize_t size = 0;
    while (!tail_.ends_with(kFinalChunk) &&
           (size = recv(fd, block.data(), block.size(), 0)) > 0) {
      tail_.append(block.data(), static_cast<size_t>(size));
      tail_.erase(0, tail_.size() - std::min<size_t>(tail_.size(), 100));
    }
    close(fd);
    done_ = true;
  }

  std::atomic<bool> done_ = false;
  std::string tail_;
  std::thread thread_;
};

}  // namespace

// Guards against attempts whose upstream counts as silent for the time in which
// the relay itself did not read, since the client was slow.
TEST_CASE("A client's own pause does not end its stream",
          "[relay][silence][slow_client][regression]") {
  fixture relay;
  relay.environment.parameters.engine_silence = kSilence;
  relay.environment.parameters.engine_silence_to_this_node = kSilence;
  relay.environment.parameters.service_silence_share = 0.1;
  relay.environment.parameters.silence_recheck = milliseconds(1);
  const bool has_model = GENERATE(true, false);
  if (has_model) {
    relay.map.pools.front().engine = engine_capacity{8, 100000};
  }
  relay.SetHandler([](const received_request& request) {
    request.write(fixture::StreamHead(request));
    for (int id = 1; id <= kEvents; ++id) {
      request.write(LargeEvent(id));
    }
    request.write(kFinalChunk);
  });
  const slow_client client(relay.server.address(),
                           fixture::Request("/resume/", "r1"));
  REQUIRE(relay.Await([&] { return client.done(); }));
  CHECK(client.tail().ends_with(kFinalChunk));
  CHECK(relay.RequestCount() == 1);
  CHECK(relay.failed_attempts.empty());
}

}  // namespace skylarkcroft
