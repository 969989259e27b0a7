#ifndef SKYLARKCROFT_TESTS_RELAY_SCRIPTED_UPSTREAM_H_
#define SKYLARKCROFT_TESTS_RELAY_SCRIPTED_UPSTREAM_H_

#include <event2/listener.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <functional>
#include <list>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "skylarkcroft/internal/skylarkcroft_endpoint.h"
#include "skylarkcroft/internal/skylarkcroft_error.h"
#include "skylarkcroft/internal/skylarkcroft_event_loop.h"
#include "skylarkcroft/wire/skylarkcroft_message_reader.h"
#include "skylarkcroft/wire/skylarkcroft_stream_socket.h"

namespace skylarkcroft {

/// An upstream whose answers a test writes byte by byte.
class scripted_upstream {
 public:
  /// One request as it came and the connection on which to answer.
  struct arrival {
    message_head head;
    std::string body;
    std::function<void(const std::string&)> write;
    std::function<void()> close;
    /// True once the other side has closed the connection.
    std::shared_ptr<bool> closed;
  };
  using handler = std::function<void(const arrival&)>;

  explicit scripted_upstream(event_loop& loop) : loop_(loop) {
    sockaddr_in raw{};
    raw.sin_family = AF_INET;
    raw.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    listener_ = evconnlistener_new_bind(
        loop.base(),
        [](evconnlistener*, evutil_socket_t fd, sockaddr*, int, void* self) {
          static_cast<scripted_upstream*>(self)->Accept(fd);
        },
        this, LEV_OPT_CLOSE_ON_FREE, -1, reinterpret_cast<sockaddr*>(&raw),
        sizeof raw);
    if (listener_ == nullptr) {
      throw network_error("cannot listen on loopback",
                          "end other programs that hold its ports");
    }
    socklen_t size = sizeof raw;
    getsockname(evconnlistener_get_fd(listener_),
                reinterpret_cast<sockaddr*>(&raw), &size);
    port_ = ntohs(raw.sin_port);
  }
  ~scripted_upstream() { evconnlistener_free(listener_); }
  scripted_upstream(const scripted_upstream&) = delete;
  scripted_upstream& operator=(const scripted_upstream&) = delete;

  [[nodiscard]] endpoint address() const { return {"127.0.0.1", port_}; }
  void Answer(handler answer) { answer_ = std::move(answer); }

  std::vector<arrival> arrivals;
  int connections = 0;

 private:
  struct connection {
    std::unique_ptr<message_reader> reader;
    std::unique_ptr<stream_socket> socket;
    message_head head;
    std::string body;
    std::shared_ptr<bool> closed = std::make_shared<bool>(false);
  };

  void Accept(int fd) {
    ++connections;
    open_.push_back(std::make_unique<connection>());
    connection* one = open_.back().get();
    one->reader = std::make_unique<message_reader>(
        message_kind::kRequest, 65536,
        message_events{
            [one](const message_head& head) { one->head = head; },
            [one](std::string_view bytes) { one->body.append(bytes); }});
    one->socket = std::make_unique<stream_socket>(
        loop_, fd,
        socket_events{
            [this, one](std::string_view bytes) { return OnBytes(one, bytes); },
            [] {},
            [this, one](bool) {
              *one->closed = true;
              loop_.Defer([one] { one->socket.reset(); });
            }});
  }

  size_t OnBytes(connection* one, std::string_view bytes) {
    const read_progress progress = one->reader->Feed(bytes);
    if (progress.state != read_state::kEnded) {
      return bytes.size();
    }
    one->reader->Reset();
    arrivals.push_back(
        {one->head, std::exchange(one->body, ""),
         [one](const std::string& text) {
           if (one->socket != nullptr) {
             one->socket->Write(text);
           }
         },
         [this, one] { loop_.Defer([one] { one->socket.reset(); }); },
         one->closed});
    if (answer_) {
      answer_(arrivals.back());
    }
    return progress.consumed;
  }

  event_loop& loop_;
  evconnlistener* listener_;
  uint16_t port_ = 0;
  handler answer_;
  std::list<std::unique_ptr<connection>> open_;
};

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_TESTS_RELAY_SCRIPTED_UPSTREAM_H_
