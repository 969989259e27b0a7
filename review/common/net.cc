#include "review/common/net.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <chrono>
#include <cstdlib>
#include <thread>
#include <utility>

namespace review {
namespace {

constexpr size_t kReadBytes = 65536;
constexpr int kHexBase = 16;

sockaddr_in AddressOf(uint16_t port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}

void SetNoDelay(int fd) {
  const int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

std::string LowerCase(std::string text) {
  std::transform(text.begin(), text.end(), text.begin(),
                 [](unsigned char c) { return std::tolower(c); });
  return text;
}

std::string Word(const std::string& line, int index) {
  size_t begin = 0;
  for (int i = 0; i < index; ++i) {
    begin = line.find(' ', begin);
    if (begin == std::string::npos) {
      return "";
    }
    ++begin;
  }
  return line.substr(begin, line.find(' ', begin) - begin);
}

std::string DecodeUri(const std::string& text) {
  std::string decoded;
  for (size_t i = 0; i < text.size(); ++i) {
    if (text[i] == '%' && i + 2 < text.size()) {
      decoded += static_cast<char>(
          std::strtol(text.substr(i + 1, 2).c_str(), nullptr, kHexBase));
      i += 2;
    } else {
      decoded += text[i];
    }
  }
  return decoded;
}

}  // namespace

int64_t NowMs() {
  static const auto kStarted = std::chrono::steady_clock::now();
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::steady_clock::now() - kStarted)
      .count();
}

void SleepMs(int64_t span) {
  std::this_thread::sleep_for(std::chrono::milliseconds(span));
}

std::string message::Header(const std::string& name) const {
  const auto found = headers.find(name);
  return found == headers.end() ? "" : found->second;
}

std::string message::Method() const { return Word(start, 0); }

std::string message::Target() const { return Word(start, 1); }

std::string message::Path() const {
  const std::string target = Target();
  return target.substr(0, target.find('?'));
}

std::string message::Query(const std::string& name) const {
  const std::string target = Target();
  size_t at = target.find('?');
  while (at != std::string::npos) {
    const size_t end = target.find('&', at + 1);
    const std::string item = target.substr(at + 1, end - at - 1);
    if (item.starts_with(name + "=")) {
      return DecodeUri(item.substr(name.size() + 1));
    }
    at = end;
  }
  return "";
}

int message::Status() const { return std::atoi(Word(start, 1).c_str()); }

connection::~connection() {
  if (fd_ >= 0) {
    close(fd_);
  }
}

bool connection::Write(const std::string& bytes) const {
  size_t sent = 0;
  while (sent < bytes.size()) {
    const ssize_t size =
        send(fd_, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
    if (size <= 0) {
      return false;
    }
    sent += static_cast<size_t>(size);
  }
  return true;
}

bool connection::ReadSome(std::string& into, int limit_ms) {
  pollfd readable{fd_, POLLIN, 0};
  if (poll(&readable, 1, limit_ms) == 0) {
    return true;
  }
  std::string bytes(kReadBytes, '\0');
  const ssize_t size = recv(fd_, bytes.data(), bytes.size(), 0);
  if (size <= 0) {
    was_reset_ = size < 0;
    return false;
  }
  into.append(bytes, 0, static_cast<size_t>(size));
  return true;
}

bool connection::Fill() { return ReadSome(buffer_); }

std::optional<std::string> connection::ReadLine() {
  size_t end = buffer_.find("\r\n");
  while (end == std::string::npos) {
    if (!Fill()) {
      return std::nullopt;
    }
    end = buffer_.find("\r\n");
  }
  std::string line = buffer_.substr(0, end);
  buffer_.erase(0, end + 2);
  return line;
}

bool connection::ReadBytes(size_t size, std::string& into) {
  while (buffer_.size() < size) {
    if (!Fill()) {
      into.append(std::exchange(buffer_, {}));
      return false;
    }
  }
  into.append(buffer_, 0, size);
  buffer_.erase(0, size);
  return true;
}

bool connection::ReadChunks(std::string& into) {
  while (true) {
    const std::optional<std::string> line = ReadLine();
    if (!line.has_value()) {
      return false;
    }
    const auto size =
        static_cast<size_t>(std::strtol(line->c_str(), nullptr, kHexBase));
    if (!ReadBytes(size, into) || !ReadLine().has_value()) {
      return false;
    }
    if (size == 0) {
      return true;
    }
  }
}

std::optional<message> connection::ReadHead() {
  const std::optional<std::string> start = ReadLine();
  if (!start.has_value()) {
    return std::nullopt;
  }
  message read;
  read.start = *start;
  while (true) {
    const std::optional<std::string> line = ReadLine();
    if (!line.has_value()) {
      return std::nullopt;
    }
    if (line->empty()) {
      return read;
    }
    const size_t colon = std::min(line->find(':'), line->size());
    std::string value = line->substr(std::min(colon + 1, line->size()));
    value.erase(0, value.find_first_not_of(' '));
    read.headers[LowerCase(line->substr(0, colon))] = value;
  }
}

std::optional<message> connection::ReadRequest() {
  std::optional<message> read = ReadHead();
  if (!read.has_value()) {
    return std::nullopt;
  }
  if (LowerCase(read->Header("transfer-encoding")) == "chunked") {
    read->whole = ReadChunks(read->body);
  } else {
    const std::string length = read->Header("content-length");
    read->whole =
        ReadBytes(static_cast<size_t>(std::atoll(length.c_str())), read->body);
  }
  return read;
}

std::optional<message> connection::ReadResponse() {
  std::optional<message> read = ReadHead();
  if (!read.has_value()) {
    return std::nullopt;
  }
  if (LowerCase(read->Header("transfer-encoding")) == "chunked") {
    read->whole = ReadChunks(read->body);
  } else if (read->headers.contains("content-length")) {
    const std::string length = read->Header("content-length");
    read->whole =
        ReadBytes(static_cast<size_t>(std::atoll(length.c_str())), read->body);
  } else {
    while (Fill()) {
    }
    read->body = std::exchange(buffer_, {});
    read->whole = !was_reset_;
  }
  return read;
}

bool connection::WaitReadable() const {
  pollfd readable{fd_, POLLIN, 0};
  return poll(&readable, 1, -1) > 0;
}

void connection::ResetOnClose() const {
  const linger reset{1, 0};
  setsockopt(fd_, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
}

int Connect(uint16_t port) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in address = AddressOf(port);
  if (connect(fd, reinterpret_cast<const sockaddr*>(&address),
              sizeof address) != 0) {
    close(fd);
    return -1;
  }
  SetNoDelay(fd);
  return fd;
}

int Listen(uint16_t port, int backlog) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  const sockaddr_in address = AddressOf(port);
  if (bind(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) !=
          0 ||
      listen(fd, backlog) != 0) {
    close(fd);
    return -1;
  }
  return fd;
}

uint16_t PortOf(int fd) {
  sockaddr_in address{};
  socklen_t size = sizeof address;
  getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
  return ntohs(address.sin_port);
}

uint16_t FreePort() {
  const int fd = Listen(0);
  const uint16_t port = PortOf(fd);
  close(fd);
  return port;
}

server::server(serve_fn serve, uint16_t port)
    : listener_(Listen(port)), port_(PortOf(listener_)) {
  std::thread([listener = listener_, serve = std::move(serve)] {
    while (true) {
      const int fd = accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0) {
        if (errno == EINTR || errno == ECONNABORTED) {
          continue;
        }
        return;
      }
      SetNoDelay(fd);
      std::thread([serve, fd] { serve(fd); }).detach();
    }
  }).detach();
}

void server::Close() {
  const int fd = std::exchange(listener_, -1);
  if (fd >= 0) {
    // Wakes the thread that accepts.
    shutdown(fd, SHUT_RDWR);
    close(fd);
  }
}

std::string Response(int status, const std::string& headers,
                     const std::string& body) {
  return "HTTP/1.1 " + std::to_string(status) + " Status\r\n" + headers +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

}  // namespace review
