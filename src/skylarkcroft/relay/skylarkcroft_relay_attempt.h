#ifndef SKYLARKCROFT_RELAY_SKYLARKCROFT_RELAY_ATTEMPT_H_
#define SKYLARKCROFT_RELAY_SKYLARKCROFT_RELAY_ATTEMPT_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include "skylarkcroft/internal/skylarkcroft_time.h"
#include "skylarkcroft/placement/skylarkcroft_load_balancer.h"
#include "skylarkcroft/relay/skylarkcroft_upstream_connections.h"
#include "skylarkcroft/wire/skylarkcroft_message_reader.h"
#include "skylarkcroft/wire/skylarkcroft_response_end.h"

namespace skylarkcroft {

/// One sending of a request to one upstream.
struct relay_attempt {
  placement placed;
  exchange_ptr exchange;
  time_point started_at{};
  std::optional<message_head> head;
  std::string body;
  bool is_stream = false;
  /// The upstream has started to execute the request or may have executed it.
  bool execution_started = false;
  /// When the first event of a stream, or the first byte of another body,
  /// arrived.
  std::optional<time_point> first_output_at;
  time_point last_byte_at{};
  /// When the last event of the stream arrived.
  std::optional<time_point> last_event_at;
  /// The one attempt that is allowed after a quarantine of the request.
  bool is_trial = false;
  /// Id for rollout_coordinator::OnRequestEnded().
  uint64_t rollout_id = 0;
  /// Reading is paused because the client is too slow.
  bool paused = false;
  /// When reading was last resumed.
  time_point reading_since{};
  /// From when on a successor may be sought if the upstream is silent.
  time_point next_successor_search{};
  /// A connection to a possible successor is being opened.
  bool opens_successor = false;
  /// Set when the response has ended with its connection: what the upstream
  /// has shown since of whether its process has ended too.
  std::optional<end_evidence> unconfirmed_end;
};

using relay_attempt_ptr = std::unique_ptr<relay_attempt>;

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_RELAY_SKYLARKCROFT_RELAY_ATTEMPT_H_
