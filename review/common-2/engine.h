// An engine or plain service of PROTOCOL.md, as a process of its own: it can be
// killed like one. It is sound: it answers each request once, echoes the id,
// keeps to its slots, its queue and its limit of connections, and drops a
// request when its connection ends.
#ifndef REVIEW_COMMON_2_ENGINE_H_
#define REVIEW_COMMON_2_ENGINE_H_

#include <csignal>
#include <cstdio>
#include <functional>
#include <mutex>
#include <string>
#include <thread>

#include "net.h"

namespace review {

struct engine_terms {
  std::string id = "i-1";
  int slots = 64;
  int connection_limit = 360;
  /// A stream: events, the pause between them and the size of each.
  int events = 20;
  int gap_ms = 100;
  int event_bytes = 60;
  /// Answers streams without a length or chunks; they end with the connection.
  bool unframed = false;
  /// Work on a plain request.
  int work_ms = 15;
  int keep_alive_s = 5;
  /// 0: a free one.
  uint16_t port = 0;
};

/// Serves until the process is killed. Writes a line to standard output for all
/// that it does: "port N", "run ID", "event ID N", "end ID", "left ID",
/// "reset" (a connection beyond the limit).
class engine {
 public:
  explicit engine(engine_terms terms) : terms_(std::move(terms)) {}

  void Run() {
    const int listening = Listen(terms_.port);
    Say("port " + std::to_string(PortOf(listening)));
    while (true) {
      const int fd = accept4(listening, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0) {
        continue;
      }
      if (IsBeyondLimit()) {
        Say("reset");
        Reset(fd);
        continue;
      }
      std::thread([this, fd] { Serve(fd); }).detach();
    }
  }

 private:
  void Say(const std::string& line) {
    const std::lock_guard<std::mutex> lock(mutex_);
    std::printf("%s\n", line.c_str());
    std::fflush(stdout);
  }

  /// Counts the connection if it is not.
  bool IsBeyondLimit() {
    const std::lock_guard<std::mutex> lock(mutex_);
    // Fewer while the queue is long.
    const int limit = waiting_ > terms_.slots ? terms_.connection_limit / 2
                                              : terms_.connection_limit;
    if (open_ >= limit) {
      return true;
    }
    ++open_;
    return false;
  }

  static bool HasLeft(int fd) {
    char next = 0;
    const ssize_t size = recv(fd, &next, 1, MSG_PEEK | MSG_DONTWAIT);
    return size == 0 || (size < 0 && errno != EAGAIN && errno != EINTR);
  }

  bool TakeSlot(int fd) {
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      if (running_ < terms_.slots) {
        ++running_;
        return true;
      }
      ++waiting_;
    }
    while (true) {
      std::this_thread::sleep_for(std::chrono::milliseconds(5));
      const std::lock_guard<std::mutex> lock(mutex_);
      if (HasLeft(fd)) {
        --waiting_;
        return false;
      }
      if (running_ < terms_.slots) {
        --waiting_;
        ++running_;
        return true;
      }
    }
  }

  void Serve(int fd) {
    const int on = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    reader from(fd);
    bool keeps = true;
    while (keeps) {
      const std::optional<message> request =
          ReadMessage(from, NowMs() + terms_.keep_alive_s * 1000, false);
      if (!request.has_value() || !request->whole) {
        break;
      }
      keeps = Answer(fd, *request);
    }
    // The place is free only when the connection has ended.
    close(fd);
    const std::lock_guard<std::mutex> lock(mutex_);
    --open_;
  }

  /// Returns whether the connection stays open.
  bool Answer(int fd, const message& request) {
    const std::string id = request.Get("X-Attempt-Id");
    const std::string expected = request.Get("X-Expected-Instance");
    std::string head =
        "X-Attempt-Id: " + id + "\r\nX-Instance-Id: " + terms_.id +
        "\r\nKeep-Alive: timeout=" + std::to_string(terms_.keep_alive_s) +
        "\r\n";
    if (!expected.empty() && expected != terms_.id) {
      return SendAll(fd, "HTTP/1.1 421 Misdirected Request\r\n" + head +
                             "X-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n");
    }
    if (!TakeSlot(fd)) {
      Say("left " + id);
      return false;
    }
    Say("run " + id);
    head += "X-Response-Signature: s-" + id + "\r\n";
    const bool stream = request.target().find("/stream") == 0;
    const bool stays = stream ? Stream(fd, id, head) : Plain(fd, id, head);
    const std::lock_guard<std::mutex> lock(mutex_);
    --running_;
    return stays;
  }

  bool Plain(int fd, const std::string& id, const std::string& head) {
    std::this_thread::sleep_for(std::chrono::milliseconds(terms_.work_ms));
    const std::string body = "answer to " + id;
    const bool sent = SendAll(
        fd, "HTTP/1.1 200 OK\r\n" + head + "Content-Type: text/plain\r\n" +
                "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
                body);
    Say((sent ? "end " : "left ") + id);
    return sent;
  }

  bool Stream(int fd, const std::string& id, const std::string& head) {
    const std::string framing = terms_.unframed
                                    ? "Connection: close\r\n"
                                    : "Transfer-Encoding: chunked\r\n";
    bool sent = SendAll(fd, "HTTP/1.1 200 OK\r\n" + head +
                                "Content-Type: text/event-stream\r\n" +
                                framing + "\r\n");
    for (int n = 1; sent && n <= terms_.events; ++n) {
      std::string event = "id: " + std::to_string(n) + "\ndata: ";
      event.append(static_cast<size_t>(terms_.event_bytes), 'x');
      event += "\n\n";
      if (!terms_.unframed) {
        char size[24];
        std::snprintf(size, sizeof size, "%zx\r\n", event.size());
        event = size + event + "\r\n";
      }
      sent = !HasLeft(fd) && SendAll(fd, event);
      if (sent) {
        Say("event " + id + " " + std::to_string(n));
      }
      if (n < terms_.events) {
        std::this_thread::sleep_for(std::chrono::milliseconds(terms_.gap_ms));
      }
    }
    if (sent && !terms_.unframed) {
      sent = SendAll(fd, "0\r\n\r\n");
    }
    Say((sent ? "end " : "left ") + id);
    return sent && !terms_.unframed;
  }

  engine_terms terms_;
  std::mutex mutex_;
  int open_ = 0;
  int running_ = 0;
  int waiting_ = 0;
};

}  // namespace review

#endif  // REVIEW_COMMON_2_ENGINE_H_
