// Many client connections at once, without a thread for each.
#ifndef REVIEW_COMMON_2_CROWD_H_
#define REVIEW_COMMON_2_CROWD_H_

#include <string>
#include <vector>

#include "net.h"

namespace review {

/// Connections that send their bytes and stay open.
class crowd {
 public:
  crowd() = default;
  ~crowd() { Leave(); }
  crowd(const crowd&) = delete;
  crowd& operator=(const crowd&) = delete;

  /// Returns whether the connection stands and its bytes were taken.
  bool Add(uint16_t port, const std::string& bytes) {
    const int fd = Connect(port, 500);
    if (fd < 0) {
      return false;
    }
    const timeval limit{1, 0};
    setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof limit);
    if (!SendAll(fd, bytes)) {
      close(fd);
      return false;
    }
    fds_.push_back(fd);
    return true;
  }
  /// Connections that the other side has not closed.
  [[nodiscard]] size_t CountOpen() const {
    size_t open = 0;
    for (const int fd : fds_) {
      char next = 0;
      const ssize_t size = recv(fd, &next, 1, MSG_PEEK | MSG_DONTWAIT);
      const bool waits = size < 0 && (errno == EAGAIN || errno == EINTR);
      open += size > 0 || waits ? 1 : 0;
    }
    return open;
  }
  [[nodiscard]] size_t size() const { return fds_.size(); }
  void Leave() {
    for (const int fd : fds_) {
      close(fd);
    }
    fds_.clear();
  }

 private:
  std::vector<int> fds_;
};

}  // namespace review

#endif  // REVIEW_COMMON_2_CROWD_H_
