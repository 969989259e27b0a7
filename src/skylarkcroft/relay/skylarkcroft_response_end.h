#ifndef SKYLARKCROFT_RELAY_SKYLARKCROFT_RESPONSE_END_H_
#define SKYLARKCROFT_RELAY_SKYLARKCROFT_RESPONSE_END_H_

#include <optional>

#include "skylarkcroft/internal/skylarkcroft_time.h"
#include "skylarkcroft/wire/skylarkcroft_connect_check.h"

namespace skylarkcroft {

/// What is to be told of a response that ended with its connection.
enum class end_verdict {
  kWait,    ///< Not known yet.
  kWhole,   ///< The upstream goes on, or nothing shows that it does not.
  kBroken,  ///< The upstream's process has ended.
};

/// Time limits for the end of a response.
struct end_limits {
  /// An upstream that refuses a connection, for want of room as well, has this
  /// long to show by a byte that it goes on.
  milliseconds life_sign_wait{50};

  bool operator==(const end_limits&) const = default;
};

/// What is known of an upstream after a response that ended with its
/// connection.
struct end_evidence {
  /// What a further connection to the upstream has shown; empty until then. One
  /// that is accepted and closed right after counts as refused.
  std::optional<connect_outcome> outcome;
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
/// an orderly way too, so it is only if the process goes on.
end_verdict DecideEnd(const end_evidence& evidence, const end_limits& limits,
                      time_point now);

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_RELAY_SKYLARKCROFT_RESPONSE_END_H_
