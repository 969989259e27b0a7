#include "skylarkcroft/peers/skylarkcroft_peer_channel.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <utility>

#include "skylarkcroft/internal/skylarkcroft_error.h"

namespace skylarkcroft {
namespace {

constexpr size_t kLargestDatagram = 65536;
// Bounds the time spent on one readable descriptor.
constexpr int kMostDatagramsAtOnce = 64;

sockaddr_in SocketAddress(const endpoint& address) {
  sockaddr_in raw{};
  raw.sin_family = AF_INET;
  raw.sin_port = htons(address.port);
  inet_pton(AF_INET, address.host.c_str(), &raw.sin_addr);
  return raw;
}

endpoint EndpointOf(const sockaddr_in& raw) {
  std::array<char, INET_ADDRSTRLEN> text{};
  inet_ntop(AF_INET, &raw.sin_addr, text.data(), text.size());
  return {text.data(), ntohs(raw.sin_port)};
}

}  // namespace

peer_channel::peer_channel(event_loop& loop, const endpoint& listen,
                           receive_fn receive)
    : receive_(std::move(receive)),
      address_(listen),
      fd_(socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0)) {
  sockaddr_in raw = SocketAddress(listen);
  if (fd_ < 0 ||
      bind(fd_, reinterpret_cast<sockaddr*>(&raw), sizeof raw) != 0) {
    if (fd_ >= 0) {
      close(fd_);
    }
    throw network_error("cannot receive datagrams on " + ToString(listen),
                        "choose a free address of this host");
  }
  socklen_t size = sizeof raw;
  getsockname(fd_, reinterpret_cast<sockaddr*>(&raw), &size);
  address_.port = ntohs(raw.sin_port);
  readable_ = loop.OnReadable(fd_, [this] { ReceiveAll(); });
}

peer_channel::~peer_channel() {
  readable_.reset();
  close(fd_);
}

bool peer_channel::Send(const endpoint& to, std::string_view bytes) {
  const sockaddr_in raw = SocketAddress(to);
  const ssize_t sent =
      sendto(fd_, bytes.data(), bytes.size(), MSG_NOSIGNAL,
             reinterpret_cast<const sockaddr*>(&raw), sizeof raw);
  return sent == static_cast<ssize_t>(bytes.size());
}

void peer_channel::ReceiveAll() {
  static std::array<char, kLargestDatagram> buffer;
  for (int i = 0; i < kMostDatagramsAtOnce; ++i) {
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
