#ifndef SKYLARKCROFT_TESTS_FREE_PORTS_H_
#define SKYLARKCROFT_TESTS_FREE_PORTS_H_

#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cstdint>
#include <vector>

#include "skylarkcroft/internal/skylarkcroft_error.h"

namespace skylarkcroft {

/// Whether nothing listens on or receives at the loopback port.
inline bool IsPortFree(uint16_t port) {
  sockaddr_in raw{};
  raw.sin_family = AF_INET;
  raw.sin_port = htons(port);
  raw.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  for (const int kind : {SOCK_STREAM, SOCK_DGRAM}) {
    const int fd = socket(AF_INET, kind, 0);
    const bool bound =
        bind(fd, reinterpret_cast<sockaddr*>(&raw), sizeof raw) == 0;
    close(fd);
    if (!bound) {
      return false;
    }
  }
  return true;
}

/// Loopback ports for processes that are to be started. They lie below the
/// range from which the kernel takes ports of outgoing connections, any of
/// which could take a port between its choice and its use.
inline std::vector<uint16_t> FreePorts(size_t count) {
  constexpr uint16_t kFirst = 10000;
  constexpr uint16_t kEnd = 32000;
  constexpr uint16_t kStride = 64;
  static uint16_t next = static_cast<uint16_t>(
      kFirst + getpid() % ((kEnd - kFirst) / kStride) * kStride);
  std::vector<uint16_t> ports;
  for (int tried = 0; ports.size() < count && tried < kEnd - kFirst; ++tried) {
    const uint16_t port = next;
    next = next + 1 < kEnd ? static_cast<uint16_t>(next + 1) : kFirst;
    if (IsPortFree(port)) {
      ports.push_back(port);
    }
  }
  if (ports.size() < count) {
    throw network_error("no free loopback ports below 32000",
                        "end other programs that hold them");
  }
  return ports;
}

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_TESTS_FREE_PORTS_H_
