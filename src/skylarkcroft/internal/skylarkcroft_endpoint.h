#ifndef SKYLARKCROFT_INTERNAL_SKYLARKCROFT_ENDPOINT_H_
#define SKYLARKCROFT_INTERNAL_SKYLARKCROFT_ENDPOINT_H_

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

namespace skylarkcroft {

/// TCP address by IP number and port.
struct endpoint {
  std::string host;
  uint16_t port = 0;

  auto operator<=>(const endpoint&) const = default;
};

/// Reads `IPv4:port` or `[IPv6]:port`. Throws config_error with `path` when the
/// host is not an IP number or the port is not from 0 to 65535.
endpoint ParseEndpoint(std::string_view text, const std::string& path);

std::string ToString(const endpoint& address);

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_INTERNAL_SKYLARKCROFT_ENDPOINT_H_
