#ifndef SKYLARKCROFT_WIRE_SKYLARKCROFT_CONNECT_CHECK_H_
#define SKYLARKCROFT_WIRE_SKYLARKCROFT_CONNECT_CHECK_H_

#include <functional>
#include <memory>
#include <string_view>

#include "skylarkcroft/internal/skylarkcroft_endpoint.h"
#include "skylarkcroft/internal/skylarkcroft_event_loop.h"
#include "skylarkcroft/internal/skylarkcroft_time.h"
#include "skylarkcroft/wire/skylarkcroft_stream_socket.h"

namespace skylarkcroft {

/// What an attempt to connect to a process has shown.
enum class connect_outcome {
  kAccepted,  ///< The process accepts connections.
  kDropped,   ///< The connection was set up, and ended by the peer right after.
  kRefused,   ///< No process accepts connections at the address.
  kUnknown,   ///< No answer in time, or no file descriptor is free.
};

/// The outcome's name in log lines.
std::string_view ToString(connect_outcome outcome);

/// Time limits of a connect_check.
struct connect_check_limits {
  /// For the peer to accept the connection.
  milliseconds answer{400};
  /// A connection that ends before it has been open for this long is dropped.
  milliseconds min_open_time{50};

  bool operator==(const connect_check_limits&) const = default;
};

/// Connects to a peer to see whether a process listens there, and closes the
/// connection again.
class connect_check {
 public:
  /// `on_result` is called once, not from within the constructor, both limits
  /// later at most; it may destroy the check.
  connect_check(event_loop& loop, const endpoint& peer,
                const connect_check_limits& limits,
                std::function<void(connect_outcome)> on_result);
  ~connect_check();
  connect_check(const connect_check&) = delete;
  connect_check& operator=(const connect_check&) = delete;

 private:
  void OnOpened(milliseconds min_open_time);
  void End(connect_outcome outcome);

  event_loop& loop_;
  std::function<void(connect_outcome)> on_result_;
  std::unique_ptr<stream_socket> socket_;
  event_loop::handle_ptr timer_;
};

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_WIRE_SKYLARKCROFT_CONNECT_CHECK_H_
