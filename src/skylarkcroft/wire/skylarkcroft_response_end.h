#ifndef SKYLARKCROFT_WIRE_SKYLARKCROFT_RESPONSE_END_H_
#define SKYLARKCROFT_WIRE_SKYLARKCROFT_RESPONSE_END_H_

#include <optional>
#include <string_view>

#include "skylarkcroft/internal/skylarkcroft_time.h"
#include "skylarkcroft/wire/skylarkcroft_connect_check.h"

namespace skylarkcroft {

/// What is to be told of a response that ended with its connection.
enum class end_verdict {
  kWait,          ///< Not known yet.
  kConnectAgain,  ///< A further connection to the upstream is needed to know.
  kWhole,         ///< The upstream goes on, or nothing shows that it does not.
  kBroken,        ///< The upstream's process has ended.
};

/// Time limits for the end of a response.
struct end_limits {
  /// An upstream that refuses a connection has this long to show by a byte that
  /// it goes on.
  milliseconds life_sign_wait{50};
  /// A process that has ended no longer listens this long after its connections
  /// were closed.
  milliseconds listener_close_limit{100};

  bool operator==(const end_limits&) const = default;
};

/// What is known of an upstream after a response that ended with its
/// connection.
struct end_evidence {
  /// When the response ended.
  time_point ended_at{};
  /// When the latest further connection to the upstream was begun.
  time_point connected_at{};
  /// What that connection has shown; empty until then.
  std::optional<connect_outcome> outcome{};
  time_point outcome_at{};
  /// A byte has arrived from the upstream since outcome_at.
  bool has_byte_since = false;

  bool operator==(const end_evidence&) const = default;
};

/// What is known of whether and when an upstream leaves.
struct upstream_departure {
  bool is_leaving = false;
  /// From when on it may exit, whatever it runs; empty if it has not stated it.
  std::optional<time_point> exits_at;

  bool operator==(const upstream_departure&) const = default;
};

/// Whether the upstream has to show that it goes on after a response that ended
/// with its connection at `ended_at`. One that leaves may exit after its last
/// response, but what it runs at its stated exit is cut off.
bool NeedsConfirmation(const upstream_departure& departure,
                       time_point ended_at);

/// Whether the response is whole. A process that ends closes its connections in
/// an orderly way too, so it is only if the process goes on. Its listening
/// socket may be closed last, so a connection that is dropped shows a process
/// only from listener_close_limit after the end on: until then it may be the
/// one that has ended, later it is one without room for a connection.
end_verdict DecideEnd(const end_evidence& evidence, const end_limits& limits,
                      time_point now);

/// From when on DecideEnd() decides otherwise than kWait for the same outcome.
time_point NextDecisionTime(const end_evidence& evidence,
                            const end_limits& limits);

/// Whether a further connection has spoken against a whole response so far,
/// while DecideEnd() has not called it whole or broken.
bool IsEndInDoubt(const end_evidence& evidence);

/// What has shown how the response ended, for the log: the name of the latest
/// outcome, `byte` for a byte from the upstream, or empty.
std::string_view EndShownBy(const end_evidence& evidence);

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_WIRE_SKYLARKCROFT_RESPONSE_END_H_
