#ifndef SKYLARKCROFT_RELAY_SKYLARKCROFT_RELAY_TERMS_H_
#define SKYLARKCROFT_RELAY_SKYLARKCROFT_RELAY_TERMS_H_

#include <cstddef>

#include "skylarkcroft/internal/skylarkcroft_time.h"

namespace skylarkcroft {

/// Times and bounds of the relay.
struct relay_terms {
  /// Period of looking after requests; bounds how late a time limit acts.
  milliseconds sweep_period{40};
  /// An engine at work sends a token within some ten milliseconds; one that
  /// has sent nothing at all for this long is taken for silent.
  milliseconds engine_silence{1200};
  /// The same where peers still hear from the engine: it is busy, or only this
  /// node's connection is silent.
  milliseconds engine_silence_to_one{3000};
  /// The same for a plain service, as a share of the time left.
  double plain_silence_share = 0.4;
  /// Time a client without a stated limit waits; 0 in the table sets none.
  milliseconds default_time{30000};
  /// Connections tried for one request that was not sent yet.
  int max_connect_tries = 4;
  /// Retry-After where no upstream takes requests: about the time in which a
  /// new one is announced.
  milliseconds no_upstream_retry{700};
  /// Retry-After where an upstream declined or another node may serve.
  milliseconds other_node_retry{100};
  /// A whole answer up to this size is held back until it is known whole.
  size_t max_held_answer = 262144;
  /// Reading from the upstream pauses above this backlog to the client.
  size_t max_client_backlog = 262144;
  size_t max_clients = 3500;
  /// New requests are refused this long after the process was told to stop, so
  /// that those at work end within the time it has.
  milliseconds leave_refuse_after{2800};
  /// The process ends this long after it was told to stop at the latest.
  milliseconds leave_limit{7600};

  bool operator==(const relay_terms&) const = default;
};

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_RELAY_SKYLARKCROFT_RELAY_TERMS_H_
