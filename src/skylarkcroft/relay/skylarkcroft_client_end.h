#ifndef SKYLARKCROFT_RELAY_SKYLARKCROFT_CLIENT_END_H_
#define SKYLARKCROFT_RELAY_SKYLARKCROFT_CLIENT_END_H_

#include <cstddef>
#include <string_view>

#include "skylarkcroft/log/skylarkcroft_log_entry.h"

namespace skylarkcroft {

/// Why the relay ends the connection of a client.
enum class client_end_reason {
  kIdle,        ///< No request within the idle limit.
  kExcess,      ///< Idle while there is little room for new clients.
  kLeaving,     ///< Idle while the process shuts down.
  kAnswered,    ///< The last answer is delivered, the client stays.
  kClientGone,  ///< The client had left before its request was started.
  kBrokenOff,   ///< A response that had begun cannot be finished.
  kStalled,     ///< The client takes no byte of its answer.
  kExit,        ///< The process exits.
};

/// The reason's name in logs and metrics.
std::string_view ToString(client_end_reason reason);

/// What is known of a client connection when the relay ends it.
struct client_end {
  client_end_reason reason = client_end_reason::kIdle;
  bool request_in_flight = false;
  /// A request has been read in part.
  bool request_partly_read = false;
  /// Bytes from the client have not been read.
  bool has_unread = false;
  /// Bytes for the client that have not been passed to the system.
  size_t unsent = 0;

  /// Whether the end may cost a client that is still there a request or an
  /// answer.
  [[nodiscard]] bool DropsBytes() const {
    return reason != client_end_reason::kClientGone &&
           (request_in_flight || request_partly_read || has_unread ||
            unsent > 0);
  }
  bool operator==(const client_end&) const = default;
};

log_entry ToLogEntry(const client_end& end);

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_RELAY_SKYLARKCROFT_CLIENT_END_H_
