#include "skylarkcroft/internal/skylarkcroft_socket_state.h"

#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <sys/types.h>

#include <cerrno>

namespace skylarkcroft {

bool HasPeerClosed(int fd) {
  char next = 0;
  const ssize_t size = recv(fd, &next, sizeof next, MSG_PEEK | MSG_DONTWAIT);
  if (size >= 0) {
    return size == 0;
  }
  return errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR;
}

bool HasUnreadBytes(int fd) {
  char next = 0;
  return recv(fd, &next, sizeof next, MSG_PEEK | MSG_DONTWAIT) > 0;
}

size_t UnacknowledgedBytes(int fd) {
  int bytes = 0;
  if (ioctl(fd, SIOCOUTQ, &bytes) != 0) {
    return 0;
  }
  return static_cast<size_t>(bytes);
}

void SetResetOnClose(int fd, bool resets) {
  const linger option{resets ? 1 : 0, 0};
  setsockopt(fd, SOL_SOCKET, SO_LINGER, &option, sizeof option);
}

void SetUserTimeout(int fd, milliseconds ack_timeout) {
  const auto limit = static_cast<unsigned int>(ack_timeout.count());
  setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &limit, sizeof limit);
}

}  // namespace skylarkcroft
