#ifndef SKYLARKCROFT_TESTS_RELAY_SCRIPTED_UPSTREAM_H_
#define SKYLARKCROFT_TESTS_RELAY_SCRIPTED_UPSTREAM_H_

#include <event2/listener.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <functional>
#include <list>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "skylarkcroft/internal/skylarkcroft_endpoint.h"
#include "skylarkcroft/internal/skylarkcroft_error.h"
#include "skylarkcroft/internal/skylarkcroft_event_loop.h"
#include "skylarkcroft/internal/skylarkcroft_socket_state.h"
#include "skylarkcroft/wire/skylarkcroft_message_reader.h"
#include "skylarkcroft/wire/skylarkcroft_stream_socket.h"

namespace skylarkcroft {

/// An upstream for tests: the test writes the bytes of each response itself.
class scripted_upstream {
 public:
  /// A received request, with the means to write to its connection.
  struct received_request {
    message_head head;
    std::string body;
    /// Writes bytes to the connection; does nothing once it is closed.
    std::function<void(const std::string&)> write;
    /// Closes the connection.
    std::function<void()> close;
    /// Resets the connection.
    std::function<void()> reset;
    /// Becomes true when the other side has closed the connection.
    std::shared_ptr<bool> closed;
    /// Ends the sending side of the connection.
    std::function<void()> finish;
    /// Reads nothing more from the connection.
    std::function<void()> stop_reading;
  };
  using handler = std::function<void(const received_request&)>;

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
                          "stop other programs that use its ports");
    }
    socklen_t size = sizeof raw;
    getsockname(evconnlistener_get_fd(listener_),
                reinterpret_cast<sockaddr*>(&raw), &size);
    port_ = ntohs(raw.sin_port);
  }
  ~scripted_upstream() { StopListening(); }
  scripted_upstream(const scripted_upstream&) = delete;
  scripted_upstream& operator=(const scripted_upstream&) = delete;

  [[nodiscard]] endpoint address() const { return {"127.0.0.1", port_}; }
  /// Calls `on_request` for each further request, when it is complete.
  void SetHandler(handler on_request) { on_request_ = std::move(on_request); }

  /// Calls `on_head` for each further request, when its head is complete.
  void SetHeadHandler(handler on_head) { on_head_ = std::move(on_head); }

  /// Refuses further connections, like a process that has ended.
  void StopListening() {
    if (listener_ != nullptr) {
      evconnlistener_free(std::exchange(listener_, nullptr));
    }
  }
  /// Accepts each further connection and resets it shortly after, like an
  /// upstream at its connection limit, or one that is ending: its listening
  /// socket is closed last.
  void ResetFurtherConnections() { resets_connections_ = true; }
  /// Accepts a connection that has been set up outside the event loop, and
  /// resets it.
  void ResetNextConnection() {
    const int fd = accept(evconnlistener_get_fd(listener_), nullptr, nullptr);
    SetResetOnClose(fd, true);
    close(fd);
  }

  std::vector<received_request> requests;
  int connections = 0;  ///< Number of connections accepted so far.

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
    if (resets_connections_) {
      auto doomed = std::make_shared<stream_socket>(
          loop_, fd,
          socket_events{[](std::string_view bytes) { return bytes.size(); },
                        [] {}, [](bool) {}});
      doomed->ResetOnClose();
      resets_.push_back(
          loop_.After(milliseconds(5), [doomed]() mutable { doomed.reset(); }));
      return;
    }
    accepted_.push_back(std::make_unique<connection>());
    connection* client = accepted_.back().get();
    client->reader = std::make_unique<message_reader>(
        message_kind::kRequest, 65536,
        message_events{
            [this, client](const message_head& head) {
              client->head = head;
              if (on_head_ != nullptr) {
                on_head_(Describe(client));
              }
            },
            [client](std::string_view bytes) { client->body.append(bytes); }});
    client->socket = std::make_unique<stream_socket>(
        loop_, fd,
        socket_events{[this, client](std::string_view bytes) {
                        return OnBytes(client, bytes);
                      },
                      [] {},
                      [this, client](bool) {
                        *client->closed = true;
                        loop_.Defer([client] { client->socket.reset(); });
                      }});
  }

  received_request Describe(connection* client) {
    return {
        client->head,
        client->body,
        [client](const std::string& text) {
          if (client->socket != nullptr) {
            client->socket->Write(text);
          }
        },
        [this, client] { loop_.Defer([client] { client->socket.reset(); }); },
        [this, client] {
          if (client->socket != nullptr) {
            client->socket->ResetOnClose();
            loop_.Defer([client] { client->socket.reset(); });
          }
        },
        client->closed,
        [client] {
          if (client->socket != nullptr) {
            client->socket->ShutdownWrite();
          }
        },
        [client] {
          if (client->socket != nullptr) {
            client->socket->SetReading(false);
          }
        }};
  }

  size_t OnBytes(connection* client, std::string_view bytes) {
    const read_progress progress = client->reader->Feed(bytes);
    if (progress.state != read_state::kEnded) {
      return bytes.size();
    }
    client->reader->Reset();
    requests.push_back(Describe(client));
    client->body.clear();
    if (on_request_) {
      on_request_(requests.back());
    }
    return progress.consumed;
  }

  event_loop& loop_;
  evconnlistener* listener_;
  uint16_t port_ = 0;
  handler on_request_;
  handler on_head_;
  bool resets_connections_ = false;
  std::vector<event_loop::handle_ptr> resets_;
  std::list<std::unique_ptr<connection>> accepted_;
};

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_TESTS_RELAY_SCRIPTED_UPSTREAM_H_
