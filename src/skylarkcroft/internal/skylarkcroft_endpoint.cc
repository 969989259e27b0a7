#include "skylarkcroft/internal/skylarkcroft_endpoint.h"

#include <arpa/inet.h>

#include <array>
#include <charconv>

#include "skylarkcroft/internal/skylarkcroft_error.h"

namespace skylarkcroft {
namespace {

constexpr unsigned kMaxPort = 65535;

bool IsIpNumber(const std::string& host) {
  std::array<unsigned char, sizeof(in6_addr)> binary{};
  return inet_pton(AF_INET, host.c_str(), binary.data()) == 1 ||
         inet_pton(AF_INET6, host.c_str(), binary.data()) == 1;
}

}  // namespace

endpoint ParseEndpoint(std::string_view text, const std::string& path) {
  const auto fail = [&](const std::string& reason) -> config_error {
    return {path, "'" + std::string(text) + "' " + reason,
            "write an IP number and a port, such as 127.0.0.1:8080"};
  };
  const size_t colon = text.rfind(':');
  if (colon == std::string_view::npos) {
    throw fail("has no port");
  }
  std::string host(text.substr(0, colon));
  if (host.size() >= 2 && host.front() == '[' && host.back() == ']') {
    host = host.substr(1, host.size() - 2);
  }
  if (!IsIpNumber(host)) {
    throw fail("does not start with an IP number");
  }
  const std::string_view digits = text.substr(colon + 1);
  unsigned port = 0;
  const auto [end, status] =
      std::from_chars(digits.data(), digits.data() + digits.size(), port);
  if (status != std::errc() || end != digits.data() + digits.size() ||
      port > kMaxPort) {
    throw fail("has no valid port");
  }
  return {host, static_cast<uint16_t>(port)};
}

std::string ToString(const endpoint& address) {
  const bool ipv6 = address.host.find(':') != std::string::npos;
  const std::string host = ipv6 ? "[" + address.host + "]" : address.host;
  return host + ":" + std::to_string(address.port);
}

}  // namespace skylarkcroft
