#ifndef SKYLARKCROFT_TESTS_NODE_RAW_CALLER_H_
#define SKYLARKCROFT_TESTS_NODE_RAW_CALLER_H_

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <catch2/catch.hpp>
#include <string>

#include "skylarkcroft/internal/skylarkcroft_endpoint.h"
#include "skylarkcroft/internal/skylarkcroft_event_loop.h"
#include "skylarkcroft/internal/skylarkcroft_socket_state.h"

namespace skylarkcroft {

/// A caller's connection that reads only when the test says so.
class raw_caller {
 public:
  raw_caller(event_loop& loop, const endpoint& node)
      : loop_(loop), fd_(socket(AF_INET, SOCK_STREAM, 0)) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(node.port);
    inet_pton(AF_INET, node.host.c_str(), &address.sin_addr);
    REQUIRE(connect(fd_, reinterpret_cast<sockaddr*>(&address),
                    sizeof(address)) == 0);
    fcntl(fd_, F_SETFL, O_NONBLOCK);
  }
  ~raw_caller() {
    reading_.reset();
    close(fd_);
  }
  raw_caller(const raw_caller&) = delete;
  raw_caller& operator=(const raw_caller&) = delete;

  void Send(const std::string& text) {
    REQUIRE(send(fd_, text.data(), text.size(), MSG_NOSIGNAL) ==
            static_cast<ssize_t>(text.size()));
  }
  bool HasUnread() const { return HasUnreadBytes(fd_); }
  /// Reads from now on while the loop runs.
  void ReadAsItComes() {
    reading_ = loop_.OnReadable(fd_, [this] { ReadOnce(); });
  }
  /// Reads until `bytes` more have been read or no more have arrived.
  void ReadUpTo(size_t bytes) {
    const size_t target = received_.size() + bytes;
    while (received_.size() < target && ReadOnce()) {
    }
  }
  /// Reads all that has arrived.
  void ReadRest() {
    while (ReadOnce()) {
    }
  }
  const std::string& received() const { return received_; }
  bool closed() const { return closed_; }

 private:
  bool ReadOnce() {
    std::array<char, 65536> block{};
    const ssize_t size = recv(fd_, block.data(), block.size(), 0);
    if (size > 0) {
      received_.append(block.data(), static_cast<size_t>(size));
      return true;
    }
    if (size == 0 || (errno != EAGAIN && errno != EWOULDBLOCK)) {
      closed_ = true;
      reading_.reset();
    }
    return false;
  }

  event_loop& loop_;
  int fd_;
  std::string received_;
  bool closed_ = false;
  event_loop::handle_ptr reading_;
};

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_TESTS_NODE_RAW_CALLER_H_
