// A single-threaded loop over non-blocking sockets and timers, for stand-ins.
#ifndef REVIEW_COMMON_3_REACTOR_H_
#define REVIEW_COMMON_3_REACTOR_H_

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <chrono>
#include <csignal>
#include <cstdint>
#include <cstdlib>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace review {

using steady = std::chrono::steady_clock;
using ms = std::chrono::milliseconds;

struct address {
  std::string ip = "127.0.0.1";
  uint16_t port = 0;

  [[nodiscard]] std::string Text() const {
    return ip + ":" + std::to_string(port);
  }
};

inline sockaddr_in Raw(const address& of) {
  sockaddr_in raw{};
  raw.sin_family = AF_INET;
  raw.sin_port = htons(of.port);
  inet_pton(AF_INET, of.ip.c_str(), &raw.sin_addr);
  return raw;
}

// Ends the program as "could not run".
[[noreturn]] inline void GiveUp(const std::string& why) {
  std::cerr << "cannot run: " << why << std::endl;
  std::_Exit(2);
}

class reactor;

// One TCP connection. Its owner reads `in` and takes off what it has used.
class link {
 public:
  link(reactor& loop, int fd, bool connected)
      : connected_(connected), loop_(loop), fd_(fd) {}
  ~link();
  link(const link&) = delete;
  link& operator=(const link&) = delete;

  void Write(std::string_view bytes) {
    out_.append(bytes);
    if (connected_) {
      Flush();
    }
  }
  // Closes after everything was written.
  void Finish() {
    finishing_ = true;
    Flush();
  }
  void Close(bool reset = false);
  [[nodiscard]] bool closed() const { return fd_ < 0; }
  [[nodiscard]] bool connected() const { return connected_; }
  [[nodiscard]] size_t unsent() const { return out_.size(); }
  void SetReading(bool reading) {
    reading_ = reading;
    Update();
  }

  std::string in;
  // The peer has ended its side, or the connection has failed.
  bool ended = false;
  std::function<void()> on_change;

 private:
  friend class reactor;
  void Flush();
  void Update();
  void OnReady(uint32_t events);

  bool connected_;
  bool finishing_ = false;
  bool reading_ = true;
  reactor& loop_;
  int fd_;
  std::string out_;
};

using link_ptr = std::shared_ptr<link>;

class reactor {
 public:
  reactor() : epoll_(epoll_create1(EPOLL_CLOEXEC)) {
    std::signal(SIGPIPE, SIG_IGN);
  }
  ~reactor() {
    timers_.clear();
    listeners_.clear();
    links_.clear();
    close(epoll_);
  }
  reactor(const reactor&) = delete;
  reactor& operator=(const reactor&) = delete;

  // Listens on a free port where `at` names none.
  address Listen(address at, std::function<void(link_ptr)> on_accept) {
    const int fd =
        socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    sockaddr_in raw = Raw(at);
    if (fd < 0 ||
        bind(fd, reinterpret_cast<sockaddr*>(&raw), sizeof raw) != 0 ||
        listen(fd, 1024) != 0) {
      GiveUp("no port to listen on");
    }
    socklen_t size = sizeof raw;
    getsockname(fd, reinterpret_cast<sockaddr*>(&raw), &size);
    at.port = ntohs(raw.sin_port);
    listeners_[fd] = std::move(on_accept);
    Watch(fd, EPOLLIN, EPOLL_CTL_ADD);
    return at;
  }

  link_ptr Connect(const address& to, int receive_buffer = 0) {
    const int fd =
        socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (fd < 0) {
      GiveUp("no socket is free");
    }
    if (receive_buffer > 0) {
      setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &receive_buffer,
                 sizeof receive_buffer);
    }
    NoDelay(fd);
    sockaddr_in raw = Raw(to);
    const int result =
        connect(fd, reinterpret_cast<sockaddr*>(&raw), sizeof raw);
    auto made = std::make_shared<link>(*this, fd, result == 0);
    links_[fd] = made;
    Watch(fd, EPOLLIN | EPOLLOUT, EPOLL_CTL_ADD);
    return made;
  }

  void After(ms delay, std::function<void()> call) {
    timers_.emplace(steady::now() + delay, std::move(call));
  }

  void RunFor(ms span) {
    const steady::time_point end = steady::now() + span;
    while (steady::now() < end) {
      Turn(end);
    }
  }
  // Returns whether `done` was true in time.
  bool RunUntil(const std::function<bool()>& done, ms limit) {
    const steady::time_point end = steady::now() + limit;
    while (!done()) {
      if (steady::now() >= end) {
        return false;
      }
      Turn(std::min(end, steady::now() + ms(5)));
    }
    return true;
  }

 private:
  friend class link;
  static void NoDelay(int fd) {
    const int on = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  }
  void Watch(int fd, uint32_t events, int what) const {
    epoll_event event{};
    event.events = events;
    event.data.fd = fd;
    epoll_ctl(epoll_, what, fd, &event);
  }
  void Turn(steady::time_point until) {
    steady::time_point wake = until;
    if (!timers_.empty()) {
      wake = std::min(wake, timers_.begin()->first);
    }
    const auto left = std::chrono::ceil<ms>(wake - steady::now()).count();
    std::array<epoll_event, 256> ready{};
    const int count = epoll_wait(epoll_, ready.data(), ready.size(),
                                 static_cast<int>(std::max<int64_t>(0, left)));
    for (int i = 0; i < count; ++i) {
      Serve(ready[static_cast<size_t>(i)]);
    }
    const steady::time_point now = steady::now();
    while (!timers_.empty() && timers_.begin()->first <= now) {
      const auto call = std::move(timers_.begin()->second);
      timers_.erase(timers_.begin());
      call();
    }
  }
  void Serve(const epoll_event& event) {
    const int fd = event.data.fd;
    const auto listener = listeners_.find(fd);
    if (listener != listeners_.end()) {
      AcceptAll(fd, listener->second);
      return;
    }
    const auto found = links_.find(fd);
    if (found != links_.end()) {
      const link_ptr kept = found->second;
      kept->OnReady(event.events);
    }
  }
  void AcceptAll(int listener, const std::function<void(link_ptr)>& call) {
    while (true) {
      const int fd =
          accept4(listener, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
      if (fd < 0) {
        return;
      }
      NoDelay(fd);
      auto made = std::make_shared<link>(*this, fd, true);
      links_[fd] = made;
      Watch(fd, EPOLLIN, EPOLL_CTL_ADD);
      call(made);
    }
  }

  int epoll_;
  std::map<int, std::function<void(link_ptr)>> listeners_;
  std::map<int, link_ptr> links_;
  std::multimap<steady::time_point, std::function<void()>> timers_;
};

inline link::~link() {
  if (fd_ >= 0) {
    close(fd_);
  }
}

inline void link::Close(bool reset) {
  if (fd_ < 0) {
    return;
  }
  if (reset) {
    const linger now = {1, 0};
    setsockopt(fd_, SOL_SOCKET, SO_LINGER, &now, sizeof now);
  }
  const int fd = std::exchange(fd_, -1);
  on_change = nullptr;
  close(fd);
  loop_.links_.erase(fd);
}

inline void link::Update() {
  if (fd_ < 0) {
    return;
  }
  const bool wants_out = !connected_ || !out_.empty();
  const uint32_t events = (reading_ && !ended ? EPOLLIN : 0U) |
                          (wants_out ? static_cast<uint32_t>(EPOLLOUT) : 0U);
  loop_.Watch(fd_, events, EPOLL_CTL_MOD);
}

inline void link::Flush() {
  while (fd_ >= 0 && !out_.empty()) {
    const ssize_t sent = send(fd_, out_.data(), out_.size(), MSG_NOSIGNAL);
    if (sent < 0 && errno == EAGAIN) {
      break;
    }
    if (sent < 0) {
      ended = true;
      out_.clear();
      break;
    }
    out_.erase(0, static_cast<size_t>(sent));
  }
  if (finishing_ && out_.empty()) {
    Close();
    return;
  }
  Update();
}

inline void link::OnReady(uint32_t events) {
  if (!connected_) {
    int error = 0;
    socklen_t size = sizeof error;
    getsockopt(fd_, SOL_SOCKET, SO_ERROR, &error, &size);
    connected_ = error == 0;
    ended = error != 0;
  }
  if (connected_) {
    Flush();
  }
  std::array<char, 65536> bytes;
  while (fd_ >= 0 && reading_ && !ended) {
    const ssize_t got = recv(fd_, bytes.data(), bytes.size(), 0);
    if (got < 0 && errno == EAGAIN) {
      break;
    }
    if (got <= 0) {
      ended = true;
      break;
    }
    in.append(bytes.data(), static_cast<size_t>(got));
    if (static_cast<size_t>(got) < bytes.size()) {
      break;
    }
  }
  if ((events & (EPOLLERR | EPOLLHUP)) != 0 && reading_) {
    ended = true;
  }
  Update();
  const auto call = on_change;
  if (call != nullptr) {
    call();
  }
}

}  // namespace review

#endif  // REVIEW_COMMON_3_REACTOR_H_
