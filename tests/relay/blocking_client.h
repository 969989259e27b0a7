#ifndef SKYLARKCROFT_TESTS_RELAY_BLOCKING_CLIENT_H_
#define SKYLARKCROFT_TESTS_RELAY_BLOCKING_CLIENT_H_

#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <catch2/catch.hpp>
#include <cerrno>
#include <chrono>
#include <functional>
#include <string>
#include <thread>

#include "skylarkcroft/internal/skylarkcroft_event_loop.h"
#include "skylarkcroft/internal/skylarkcroft_socket_address.h"

namespace skylarkcroft {

/// A client that needs no loop, so that it can send while the loop of the test
/// stands still, and reads only when asked.
class blocking_client {
 public:
  /// `receive_buffer_bytes` of 0 leaves the system's buffer as it is.
  explicit blocking_client(const endpoint& address,
                           int receive_buffer_bytes = 0)
      : fd_(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
    if (receive_buffer_bytes > 0) {
      setsockopt(fd_, SOL_SOCKET, SO_RCVBUF, &receive_buffer_bytes,
                 sizeof receive_buffer_bytes);
    }
    const sockaddr_in peer = ToSocketAddress(address);
    REQUIRE(connect(fd_, reinterpret_cast<const sockaddr*>(&peer),
                    sizeof peer) == 0);
  }
  ~blocking_client() { close(fd_); }
  blocking_client(const blocking_client&) = delete;
  blocking_client& operator=(const blocking_client&) = delete;

  /// Returns whether the connection took the bytes.
  bool Send(const std::string& bytes) const {
    return send(fd_, bytes.data(), bytes.size(), MSG_NOSIGNAL) ==
           static_cast<ssize_t>(bytes.size());
  }
  /// Reads what has arrived, at most `max_bytes`.
  void Read(size_t max_bytes = 1U << 20U) {
    std::array<char, 16384> block{};
    while (max_bytes > 0 && !ended) {
      const ssize_t size = recv(
          fd_, block.data(), std::min(block.size(), max_bytes), MSG_DONTWAIT);
      if (size < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) {
        return;
      }
      ended = size <= 0;
      if (ended) {
        return;
      }
      received.append(block.data(), static_cast<size_t>(size));
      max_bytes -= static_cast<size_t>(size);
    }
  }

  std::string received;
  bool ended = false;  ///< The end of the connection, or a reset, was read.

 private:
  int fd_;
};

/// Lets the loop stand still for `pause` after `meanwhile` was called, in the
/// turn of the loop in which the sweep is due, and before it. Nothing that
/// arrives in the pause is read before the sweep.
inline void PauseBeforeSweep(event_loop& loop, milliseconds pause,
                             const std::function<void()>& meanwhile) {
  constexpr milliseconds kLongerThanSweepInterval{60};
  int turn = 0;
  const auto timer = loop.Every(milliseconds(1), [&] {
    ++turn;
    if (turn == 1) {
      std::this_thread::sleep_for(kLongerThanSweepInterval);
    } else if (turn == 2) {
      meanwhile();
      std::this_thread::sleep_for(pause);
      loop.Stop();
    }
  });
  loop.Run();
}

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_TESTS_RELAY_BLOCKING_CLIENT_H_
