#ifndef SKYLARKCROFT_RELAY_SKYLARKCROFT_CLIENT_END_H_
#define SKYLARKCROFT_RELAY_SKYLARKCROFT_CLIENT_END_H_

#include <cstddef>
#include <optional>
#include <string_view>

#include "skylarkcroft/internal/skylarkcroft_time.h"
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
  kMemory,      ///< It holds much of the node's memory, which is short.
  kExit,        ///< The process exits.
};

/// The reason's name in logs and metrics.
std::string_view ToString(client_end_reason reason);

/// How long a connection was idle when it was ended.
enum class idle_time {
  kNone,         ///< It was not idle.
  kShort,        ///< Less than kMaxRequestDelay: a request may be on its way.
  kWithinLimit,  ///< Its client was still entitled to use it.
  kPastLimit,
};

/// The name of `time` in logs and metrics.
std::string_view ToString(idle_time time);

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
  /// A whole request has been read on the connection.
  bool had_request = false;
  /// How long the connection has been idle; empty if it is not.
  std::optional<milliseconds> idle;
  /// The idle limit that binds it.
  milliseconds idle_limit{0};

  /// Whether the end may cost a client that is still there a request or an
  /// answer.
  [[nodiscard]] bool DropsBytes() const {
    return reason != client_end_reason::kClientGone &&
           (request_in_flight || request_partly_read || has_unread ||
            unsent > 0);
  }
  [[nodiscard]] idle_time IdleTime() const;
  /// Whether a request may be on its way that the end cuts off, by the times
  /// alone. Ends to make room for others are meant to be early.
  [[nodiscard]] bool IsEarly() const {
    const idle_time time = IdleTime();
    return (time == idle_time::kShort &&
            reason != client_end_reason::kExcess) ||
           (time == idle_time::kWithinLimit &&
            reason == client_end_reason::kIdle);
  }
  bool operator==(const client_end&) const = default;
};

log_entry ToLogEntry(const client_end& end);

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_RELAY_SKYLARKCROFT_CLIENT_END_H_
