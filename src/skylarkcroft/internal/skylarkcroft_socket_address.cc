#include "skylarkcroft/internal/skylarkcroft_socket_address.h"

#include <arpa/inet.h>

#include "skylarkcroft/internal/skylarkcroft_error.h"

namespace skylarkcroft {

sockaddr_in ToSocketAddress(const endpoint& address) {
  sockaddr_in socket_address{};
  socket_address.sin_family = AF_INET;
  socket_address.sin_port = htons(address.port);
  if (inet_pton(AF_INET, address.host.c_str(), &socket_address.sin_addr) != 1) {
    throw network_error("'" + address.host + "' is not an IPv4 number",
                        "write an address such as 10.0.0.5");
  }
  return socket_address;
}

}  // namespace skylarkcroft
