#include "skylarkcroft/peers/skylarkcroft_peer_channel.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <utility>

#include "skylarkcroft/internal/skylarkcroft_error.h"
#include "skylarkcroft/internal/skylarkcroft_socket_address.h"

namespace skylarkcroft {
namespace {

constexpr size_t kMaxDatagramBytes = 65536;
// Bounds the time that one wake-up may block the event loop.
constexpr int kMaxDatagramsPerWakeup = 64;

endpoint EndpointOf(const sockaddr_in& socket_address) {
  std::array<char, INET_ADDRSTRLEN> text{};
  inet_ntop(AF_INET, &socket_address.sin_addr, text.data(), text.size());
  return {text.data(), ntohs(socket_address.sin_port)};
}

}  // namespace

peer_channel::peer_channel(event_loop& loop, const endpoint& listen,
                           receive_fn receive)
    : receive_(std::move(receive)),
      address_(listen),
      fd_(socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0)) {
  sockaddr_in socket_address = ToSocketAddress(listen);
  if (fd_ < 0 || bind(fd_, reinterpret_cast<sockaddr*>(&socket_address),
                      sizeof socket_address) != 0) {
    if (fd_ >= 0) {
      close(fd_);
    }
    throw network_error(
        "cannot open a UDP socket for peer reports on " + ToString(listen),
        "configure a free address of this host");
  }
  socklen_t size = sizeof socket_address;
  getsockname(fd_, reinterpret_cast<sockaddr*>(&socket_address), &size);
  address_.port = ntohs(socket_address.sin_port);
  readable_ = loop.OnReadable(fd_, [this] { ReceiveAll(); });
}

peer_channel::~peer_channel() {
  readable_.reset();
  close(fd_);
}

bool peer_channel::Send(const endpoint& to, std::string_view bytes) {
  sockaddr_in socket_address{};
  try {
    socket_address = ToSocketAddress(to);
  } catch (const network_error&) {
    // The caller learns that nothing was sent; a peer with such an address
    // cannot be reached by this channel.
    return false;
  }
  const ssize_t sent =
      sendto(fd_, bytes.data(), bytes.size(), MSG_NOSIGNAL,
             reinterpret_cast<const sockaddr*>(&socket_address),
             sizeof socket_address);
  return sent == static_cast<ssize_t>(bytes.size());
}

void peer_channel::ReceiveAll() {
  static std::array<char, kMaxDatagramBytes> buffer;
  for (int i = 0; i < kMaxDatagramsPerWakeup; ++i) {
    sockaddr_in from{};
    socklen_t size = sizeof from;
    const ssize_t received =
        recvfrom(fd_, buffer.data(), buffer.size(), 0,
                 reinterpret_cast<sockaddr*>(&from), &size);
    if (received < 0) {
      return;
    }
    receive_(EndpointOf(from), {buffer.data(), static_cast<size_t>(received)});
  }
}

}  // namespace skylarkcroft
