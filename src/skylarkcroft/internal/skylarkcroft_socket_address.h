#ifndef SKYLARKCROFT_INTERNAL_SKYLARKCROFT_SOCKET_ADDRESS_H_
#define SKYLARKCROFT_INTERNAL_SKYLARKCROFT_SOCKET_ADDRESS_H_

#include <netinet/in.h>

#include "skylarkcroft/internal/skylarkcroft_endpoint.h"

namespace skylarkcroft {

/// The IPv4 socket address of an endpoint. Throws network_error if its host is
/// not an IPv4 number.
sockaddr_in ToSocketAddress(const endpoint& address);

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_INTERNAL_SKYLARKCROFT_SOCKET_ADDRESS_H_
