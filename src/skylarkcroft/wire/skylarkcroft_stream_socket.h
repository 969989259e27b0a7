#ifndef SKYLARKCROFT_WIRE_SKYLARKCROFT_STREAM_SOCKET_H_
#define SKYLARKCROFT_WIRE_SKYLARKCROFT_STREAM_SOCKET_H_

#include <cstddef>
#include <functional>
#include <memory>
#include <string_view>

#include "skylarkcroft/internal/skylarkcroft_endpoint.h"
#include "skylarkcroft/internal/skylarkcroft_time.h"

namespace skylarkcroft {

class event_loop;

/// Callbacks of a stream_socket; each must be set. The socket may be destroyed
/// inside of them.
struct socket_events {
  /// Bytes have come. Returns how many of them were taken; the rest is offered
  /// again with what follows, or by Offer().
  std::function<size_t(std::string_view)> on_bytes;
  std::function<void()> on_connected;
  /// The peer has ended its side (`clean`), or the connection failed.
  std::function<void(bool clean)> on_closed;
};

/// A TCP connection on a bufferevent. Destroying it closes the connection.
class stream_socket {
 public:
  /// Takes over an accepted descriptor.
  stream_socket(event_loop& loop, int fd, socket_events events);
  /// Starts to connect. Data that stays unacknowledged for `silence_limit`
  /// fails the connection.
  stream_socket(event_loop& loop, const endpoint& peer,
                milliseconds silence_limit, socket_events events);
  ~stream_socket();
  stream_socket(const stream_socket&) = delete;
  stream_socket& operator=(const stream_socket&) = delete;

  void Write(std::string_view bytes);
  /// Offers the bytes that were left before.
  void Offer();
  void SetReading(bool reading);
  /// Ends this side after what was written.
  void EndWriting();
  [[nodiscard]] size_t unsent() const;
  [[nodiscard]] size_t unread() const;

 private:
  class impl;
  std::shared_ptr<impl> impl_;
};

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_WIRE_SKYLARKCROFT_STREAM_SOCKET_H_
