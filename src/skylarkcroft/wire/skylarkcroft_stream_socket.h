#ifndef SKYLARKCROFT_WIRE_SKYLARKCROFT_STREAM_SOCKET_H_
#define SKYLARKCROFT_WIRE_SKYLARKCROFT_STREAM_SOCKET_H_

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "skylarkcroft/internal/skylarkcroft_endpoint.h"
#include "skylarkcroft/internal/skylarkcroft_time.h"

namespace skylarkcroft {

class event_loop;

/// Callbacks of a stream_socket; all must be set. They may destroy the socket.
struct socket_events {
  /// Called with received bytes; returns how many it consumed. The rest is
  /// passed again with the next bytes, or by DeliverUnread().
  std::function<size_t(std::string_view)> on_bytes;
  std::function<void()> on_connected;
  /// Called when the peer has closed its side (`clean` is true) or the
  /// connection has failed.
  std::function<void(bool clean)> on_closed;
};

/// A TCP connection, based on a libevent bufferevent. The destructor closes it.
class stream_socket {
 public:
  /// Takes ownership of the descriptor of an accepted connection. Throws
  /// network_error when memory is short.
  stream_socket(event_loop& loop, int fd, socket_events events);
  /// Starts to connect to `peer`. The connection fails when sent data stays
  /// unacknowledged for `ack_timeout`. Throws network_error when no socket can
  /// be opened.
  stream_socket(event_loop& loop, const endpoint& peer,
                milliseconds ack_timeout, socket_events events);
  ~stream_socket();
  stream_socket(const stream_socket&) = delete;
  stream_socket& operator=(const stream_socket&) = delete;

  void Write(std::string_view bytes);
  /// Writes bytes without copying them; keeps a reference until they are sent.
  void WriteShared(std::shared_ptr<const std::string> bytes);
  /// Passes the bytes that on_bytes did not consume to it again.
  void DeliverUnread();
  /// Bounds the bytes that the system keeps for the connection until they are
  /// read.
  void SetReceiveBuffer(int bytes);
  /// Pauses or resumes reading from the connection.
  void SetReading(bool reading);
  /// Whether the peer's end of stream or its reset has arrived right behind the
  /// bytes read so far, even if on_closed has not been called yet.
  [[nodiscard]] bool HasPeerClosed() const;
  /// Whether the connection was ever set up, also if the peer ended it before
  /// on_connected could be called.
  [[nodiscard]] bool was_established() const;
  /// Changes how long sent data may stay unacknowledged, or written data unsent
  /// because the peer reads nothing, until the connection fails.
  void SetAckTimeout(milliseconds ack_timeout);
  /// Makes the destructor reset the connection instead of closing it, so that
  /// bytes which the system has not delivered by then are discarded.
  void ResetOnClose();
  /// Closes the sending side of the connection. Must be called when all written
  /// bytes are sent.
  void ShutdownWrite();
  /// Written bytes that were not yet passed to the kernel.
  [[nodiscard]] size_t unsent() const;
  /// Received bytes that on_bytes has not consumed.
  [[nodiscard]] size_t unconsumed() const;
  /// Written bytes that the peer's system has not acknowledged.
  [[nodiscard]] size_t undelivered() const;
  /// Whether bytes have arrived that on_bytes has not consumed, even if the
  /// event loop has not read them yet.
  [[nodiscard]] bool HasUnread() const;

 private:
  class impl;
  std::shared_ptr<impl> impl_;
};

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_WIRE_SKYLARKCROFT_STREAM_SOCKET_H_
