#include "tests/client_pressure/client_crowd.h"

#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>

#include "skylarkcroft/internal/skylarkcroft_error.h"
#include "skylarkcroft/internal/skylarkcroft_socket_address.h"

namespace skylarkcroft {
namespace {

constexpr int kReceiveBufferBytes = 4096;
constexpr size_t kMaxSendBytes = 65536;
constexpr int kPollMs = 20;

}  // namespace

client_crowd::~client_crowd() {
  for (const client& one : clients_) {
    close(one.fd);
  }
}

void client_crowd::Connect(size_t clients, const std::string& bytes) {
  const sockaddr_in peer = ToSocketAddress(address_);
  const auto shared = std::make_shared<const std::string>(bytes);
  for (size_t i = 0; i < clients; ++i) {
    const int fd =
        socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    if (fd < 0) {
      throw network_error("cannot open a socket of the crowd",
                          "raise the limit of open files");
    }
    setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &kReceiveBufferBytes,
               sizeof kReceiveBufferBytes);
    (void)connect(fd, reinterpret_cast<const sockaddr*>(&peer), sizeof peer);
    clients_.push_back({fd, shared, 0, bytes.size()});
  }
}

bool client_crowd::Push(client& one) {
  const size_t at = one.sent % one.bytes->size();
  const size_t size =
      std::min({kMaxSendBytes, one.bytes->size() - at, one.to_send - one.sent});
  const ssize_t sent = send(one.fd, one.bytes->data() + at, size, MSG_NOSIGNAL);
  if (sent > 0) {
    one.sent += static_cast<size_t>(sent);
    return true;
  }
  if (errno != EAGAIN && errno != EWOULDBLOCK) {
    // Disconnected.
    one.sent = one.to_send;
  }
  return false;
}

void client_crowd::Send(milliseconds stall) {
  time_point moved_at = SteadyNow();
  while (SteadyNow() - moved_at < stall) {
    std::vector<pollfd> waiting;
    std::vector<client*> senders;
    for (client& one : clients_) {
      if (one.sent < one.to_send) {
        waiting.push_back({one.fd, POLLOUT, 0});
        senders.push_back(&one);
      }
    }
    if (waiting.empty()) {
      return;
    }
    poll(waiting.data(), waiting.size(), kPollMs);
    for (size_t i = 0; i < waiting.size(); ++i) {
      if (waiting[i].revents != 0 && Push(*senders[i])) {
        moved_at = SteadyNow();
      }
    }
  }
}

void client_crowd::SendRepeatedly(size_t bytes_of_a_client,
                                  milliseconds stall) {
  for (client& one : clients_) {
    one.to_send = bytes_of_a_client;
  }
  Send(stall);
}

}  // namespace skylarkcroft
