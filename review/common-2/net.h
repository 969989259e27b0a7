// Blocking sockets on loopback and HTTP/1.1 messages, for the stand-ins and the
// clients of the cases 6 to 10.
#ifndef REVIEW_COMMON_2_NET_H_
#define REVIEW_COMMON_2_NET_H_

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <strings.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <chrono>
#include <cstdint>
#include <cstdlib>
#include <cstring>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace review {

using steady = std::chrono::steady_clock;

inline int64_t NowMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             steady::now().time_since_epoch())
      .count();
}

inline sockaddr_in Loopback(uint16_t port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  address.sin_port = htons(port);
  return address;
}

inline uint16_t PortOf(int fd) {
  sockaddr_in address{};
  socklen_t size = sizeof address;
  getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
  return ntohs(address.sin_port);
}

/// A listening socket on a free port of loopback; -1 if there is none.
inline int Listen(uint16_t port = 0) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  const sockaddr_in address = Loopback(port);
  if (bind(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) !=
          0 ||
      listen(fd, 1024) != 0) {
    close(fd);
    return -1;
  }
  return fd;
}

/// A port of loopback that was free a moment ago.
inline uint16_t FreePort() {
  const int fd = Listen();
  const uint16_t port = PortOf(fd);
  close(fd);
  return port;
}

/// -1 if nothing listens there or the connection is not established in time.
inline int Connect(uint16_t port, int limit_ms = 1000) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  if (fd < 0) {
    return -1;
  }
  const sockaddr_in address = Loopback(port);
  if (connect(fd, reinterpret_cast<const sockaddr*>(&address),
              sizeof address) != 0) {
    pollfd waiting{fd, POLLOUT, 0};
    int error = 0;
    socklen_t size = sizeof error;
    if (errno != EINPROGRESS || poll(&waiting, 1, limit_ms) != 1 ||
        getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size) != 0 ||
        error != 0) {
      close(fd);
      return -1;
    }
  }
  fcntl(fd, F_SETFL, fcntl(fd, F_GETFL) & ~O_NONBLOCK);
  const int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  return fd;
}

inline bool SendAll(int fd, const std::string& bytes) {
  size_t sent = 0;
  while (sent < bytes.size()) {
    const ssize_t now =
        send(fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
    if (now <= 0) {
      return false;
    }
    sent += static_cast<size_t>(now);
  }
  return true;
}

/// Closes with a reset.
inline void Reset(int fd) {
  const linger option{1, 0};
  setsockopt(fd, SOL_SOCKET, SO_LINGER, &option, sizeof option);
  close(fd);
}

/// How the bytes of a connection ended.
enum class byte_end { kMore, kClosed, kReset, kLate };

/// Reads a connection; keeps what is behind the part that was taken.
class reader {
 public:
  explicit reader(int fd) : fd_(fd) {}

  byte_end Fill(int64_t until_ms) {
    const int64_t left = until_ms - NowMs();
    pollfd waiting{fd_, POLLIN, 0};
    if (left <= 0 || poll(&waiting, 1, static_cast<int>(left)) <= 0) {
      return byte_end::kLate;
    }
    char part[65536];
    const ssize_t size = recv(fd_, part, sizeof part, 0);
    if (size > 0) {
      buffer_.append(part, static_cast<size_t>(size));
      return byte_end::kMore;
    }
    return size == 0 ? byte_end::kClosed : byte_end::kReset;
  }

  std::string& buffer() { return buffer_; }

 private:
  int fd_;
  std::string buffer_;
};

struct message {
  std::string start;
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;
  /// The message ended as its framing says.
  bool whole = false;
  /// How the connection stood at the end of reading.
  byte_end end = byte_end::kMore;

  [[nodiscard]] std::string Get(const std::string& name) const {
    for (const auto& [key, value] : headers) {
      if (strcasecmp(key.c_str(), name.c_str()) == 0) {
        return value;
      }
    }
    return "";
  }
  [[nodiscard]] bool Has(const std::string& name) const {
    for (const auto& [key, value] : headers) {
      if (strcasecmp(key.c_str(), name.c_str()) == 0) {
        return true;
      }
    }
    return false;
  }
  [[nodiscard]] int status() const {
    return start.size() < 12 ? 0 : std::atoi(start.c_str() + 9);
  }
  [[nodiscard]] std::string method() const {
    return start.substr(0, start.find(' '));
  }
  [[nodiscard]] std::string target() const {
    const size_t from = start.find(' ') + 1;
    return start.substr(from, start.find(' ', from) - from);
  }
};

/// False if there was no whole head in time.
inline bool ReadHead(reader& from, int64_t until_ms, message& into) {
  std::string& bytes = from.buffer();
  size_t end = bytes.find("\r\n\r\n");
  while (end == std::string::npos) {
    into.end = from.Fill(until_ms);
    if (into.end != byte_end::kMore) {
      return false;
    }
    end = bytes.find("\r\n\r\n");
  }
  const std::string head = bytes.substr(0, end + 2);
  bytes.erase(0, end + 4);
  size_t at = head.find("\r\n");
  into.start = head.substr(0, at);
  at += 2;
  while (at < head.size()) {
    const size_t stop = head.find("\r\n", at);
    const std::string line = head.substr(at, stop - at);
    at = stop + 2;
    const size_t colon = line.find(':');
    size_t value = colon + 1;
    while (value < line.size() && line[value] == ' ') {
      ++value;
    }
    into.headers.emplace_back(line.substr(0, colon), line.substr(value));
  }
  return true;
}

/// Takes the body of `into` by its framing; `is_answer` without framing lasts
/// until the connection ends.
inline void ReadBody(reader& from, int64_t until_ms, bool is_answer,
                     message& into) {
  std::string& bytes = from.buffer();
  const auto have = [&](size_t size) {
    while (bytes.size() < size) {
      into.end = from.Fill(until_ms);
      if (into.end != byte_end::kMore) {
        return false;
      }
    }
    return true;
  };
  if (strcasecmp(into.Get("Transfer-Encoding").c_str(), "chunked") == 0) {
    while (true) {
      size_t line = bytes.find("\r\n");
      while (line == std::string::npos) {
        if (!have(bytes.size() + 1)) {
          return;
        }
        line = bytes.find("\r\n");
      }
      const size_t size = std::strtoul(bytes.c_str(), nullptr, 16);
      if (!have(line + 2 + size + 2)) {
        // What came of the chunk.
        if (bytes.size() > line + 2) {
          into.body.append(bytes, line + 2, size);
        }
        return;
      }
      into.body.append(bytes, line + 2, size);
      bytes.erase(0, line + 2 + size + 2);
      if (size == 0) {
        into.whole = true;
        return;
      }
    }
  }
  if (into.Has("Content-Length")) {
    const size_t size =
        std::strtoul(into.Get("Content-Length").c_str(), nullptr, 10);
    into.whole = have(size);
    into.body = bytes.substr(0, size);
    bytes.erase(0, into.body.size());
    return;
  }
  if (!is_answer) {
    into.whole = true;
    return;
  }
  while (have(bytes.size() + 1)) {
  }
  into.body = std::exchange(bytes, "");
  into.whole = into.end == byte_end::kClosed;
}

/// Nothing if no whole head came in time.
inline std::optional<message> ReadMessage(reader& from, int64_t until_ms,
                                          bool is_answer) {
  message read;
  if (!ReadHead(from, until_ms, read)) {
    return std::nullopt;
  }
  ReadBody(from, until_ms, is_answer, read);
  return read;
}

}  // namespace review

#endif  // REVIEW_COMMON_2_NET_H_
