#ifndef SKYLARKCROFT_HTTP_SKYLARKCROFT_HTTP_SERVER_H_
#define SKYLARKCROFT_HTTP_SKYLARKCROFT_HTTP_SERVER_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "skylarkcroft/http/skylarkcroft_http_message.h"
#include "skylarkcroft/internal/skylarkcroft_endpoint.h"
#include "skylarkcroft/internal/skylarkcroft_time.h"

namespace skylarkcroft {

class event_loop;

/// Bounds on what a peer may send.
struct http_server_limits {
  size_t max_header_bytes = 16 * 1024;
  size_t max_body_bytes = 4 * 1024 * 1024;
  /// Longest silence while a request is being received or an answer is being
  /// taken.
  milliseconds io_timeout{30000};
  /// Longest time from the first byte of a request to its last.
  milliseconds request_timeout{30000};
  /// Connections at a time; 0 means no bound. One more ends the one that has
  /// been silent longest and awaits no answer.
  size_t max_connections = 0;
};

/// One request being answered. Either Reply() or Start(), Write()..., End().
/// After the peer has gone the calls have no effect.
class http_exchange {
 public:
  virtual ~http_exchange() = default;

  [[nodiscard]] virtual const http_request& request() const = 0;
  virtual void Reply(const http_response& response) = 0;
  virtual void Start(int status, const http_headers& headers) = 0;
  virtual void Write(std::string_view data) = 0;
  virtual void End() = 0;
  /// Closes the connection without ending the answer, so that the peer sees a
  /// broken transfer.
  virtual void Abort() = 0;
  /// True once the peer has gone or the answer has ended.
  [[nodiscard]] virtual bool closed() const = 0;
  /// Bytes written and not yet taken by the peer's socket.
  [[nodiscard]] virtual size_t pending_bytes() const = 0;
  /// Position of the connection among those the server has accepted, from 1; 0
  /// where there is none.
  [[nodiscard]] virtual uint64_t connection_number() const { return 0; }
  /// Called once if the peer goes before the answer has ended.
  virtual void OnPeerGone(std::function<void()> call) = 0;
};
using http_exchange_ptr = std::shared_ptr<http_exchange>;
using http_handler_fn = std::function<void(http_exchange_ptr)>;

/// HTTP/1.1 server on one address, on evhttp.
class http_server {
 public:
  /// Throws network_error when the address cannot be bound. Port 0 takes a free
  /// port.
  http_server(event_loop& loop, const endpoint& listen,
              const http_server_limits& limits, http_handler_fn handler);
  ~http_server();
  http_server(const http_server&) = delete;
  http_server& operator=(const http_server&) = delete;

  /// The bound address, with the actual port.
  [[nodiscard]] const endpoint& address() const;
  /// Stops accepting connections, after those that wait to be accepted; open
  /// ones go on.
  void StopAccepting();
  /// Requests whose answers have not ended.
  [[nodiscard]] size_t open_exchanges() const;
  /// Whether bytes of answers wait to be taken, bytes of requests to be read,
  /// or connections to be accepted before a stop.
  [[nodiscard]] bool has_bytes_waiting() const;
  /// Connections accepted so far.
  [[nodiscard]] uint64_t connections_accepted() const;
  /// Connections that are open, or were closed within the last second.
  [[nodiscard]] size_t open_connections() const;

 private:
  class impl;
  std::unique_ptr<impl> impl_;
};

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_HTTP_SKYLARKCROFT_HTTP_SERVER_H_
