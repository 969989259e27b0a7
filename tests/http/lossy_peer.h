#ifndef SKYLARKCROFT_TESTS_HTTP_LOSSY_PEER_H_
#define SKYLARKCROFT_TESTS_HTTP_LOSSY_PEER_H_

#include <arpa/inet.h>
#include <linux/filter.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <catch2/catch.hpp>
#include <string>

#include "skylarkcroft/internal/skylarkcroft_endpoint.h"
#include "skylarkcroft/internal/skylarkcroft_time.h"

namespace skylarkcroft {

/// A listener whose link loses all requests, resets and ends of connections
/// until it is healed; only connections are established.
class lossy_peer {
 public:
  lossy_peer() : listener_(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
    LosePackets();
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    REQUIRE(bind(listener_, reinterpret_cast<sockaddr*>(&address),
                 sizeof address) == 0);
    REQUIRE(listen(listener_, 1) == 0);
    socklen_t size = sizeof address;
    getsockname(listener_, reinterpret_cast<sockaddr*>(&address), &size);
    port_ = ntohs(address.sin_port);
  }
  ~lossy_peer() {
    close(accepted_);
    close(listener_);
  }
  lossy_peer(const lossy_peer&) = delete;
  lossy_peer& operator=(const lossy_peer&) = delete;

  [[nodiscard]] endpoint address() const { return {"127.0.0.1", port_}; }

  /// Heals the link of the connection that was established meanwhile.
  void Heal() {
    accepted_ = accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
    REQUIRE(accepted_ >= 0);
    const int ignored = 0;
    REQUIRE(setsockopt(accepted_, SOL_SOCKET, SO_DETACH_FILTER, &ignored,
                       sizeof ignored) == 0);
  }

  /// What arrives on the connection within `limit`.
  [[nodiscard]] std::string ReadFor(milliseconds limit) const {
    pollfd readable{accepted_, POLLIN, 0};
    if (poll(&readable, 1, static_cast<int>(limit.count())) <= 0) {
      return "";
    }
    std::array<char, 4096> bytes{};
    const ssize_t size = recv(accepted_, bytes.data(), bytes.size(), 0);
    return size > 0 ? std::string(bytes.data(), static_cast<size_t>(size)) : "";
  }

 private:
  // Accepted connections inherit the filter.
  void LosePackets() const {
    constexpr uint32_t kHeaderLengthByte = 12;
    constexpr uint32_t kHeaderLengthMask = 0xf0;
    constexpr uint32_t kFlagsByte = 13;
    constexpr uint32_t kFinOrRst = 0x05;
    constexpr uint32_t kWholePacket = 0xffff;
    std::array<sock_filter, 10> steps = {{
        {BPF_LD | BPF_B | BPF_ABS, 0, 0, kFlagsByte},
        {BPF_JMP | BPF_JSET | BPF_K, 7, 0, kFinOrRst},
        {BPF_LD | BPF_B | BPF_ABS, 0, 0, kHeaderLengthByte},
        {BPF_ALU | BPF_AND | BPF_K, 0, 0, kHeaderLengthMask},
        {BPF_ALU | BPF_RSH | BPF_K, 0, 0, 2},
        {BPF_MISC | BPF_TAX, 0, 0, 0},
        {BPF_LD | BPF_W | BPF_LEN, 0, 0, 0},
        {BPF_JMP | BPF_JEQ | BPF_X, 0, 1, 0},
        {BPF_RET | BPF_K, 0, 0, kWholePacket},
        {BPF_RET | BPF_K, 0, 0, 0},
    }};
    const sock_fprog program{steps.size(), steps.data()};
    REQUIRE(setsockopt(listener_, SOL_SOCKET, SO_ATTACH_FILTER, &program,
                       sizeof program) == 0);
  }

  int listener_;
  int accepted_ = -1;
  uint16_t port_ = 0;
};

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_TESTS_HTTP_LOSSY_PEER_H_
