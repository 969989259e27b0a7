#ifndef SKYLARKCROFT_RELAY_SKYLARKCROFT_RELAY_PARAMETERS_H_
#define SKYLARKCROFT_RELAY_SKYLARKCROFT_RELAY_PARAMETERS_H_

#include <cstddef>

#include "skylarkcroft/internal/skylarkcroft_time.h"
#include "skylarkcroft/relay/skylarkcroft_idle_clients.h"

namespace skylarkcroft {

/// Time limits and size limits of the relay.
struct relay_parameters {
  /// Interval between checks of all requests; a time limit takes effect at most
  /// this late.
  milliseconds sweep_interval{40};
  /// A working engine sends a token every ten milliseconds or so. An engine
  /// that has sent nothing to any node for this long counts as silent.
  milliseconds engine_silence{1200};
  /// The limit where peers still receive bytes from the engine: it is busy, or
  /// only the connection to this node has failed.
  milliseconds engine_silence_to_this_node{3000};
  /// The limit for a service without a model, as a share of the time that the
  /// request was given.
  double service_silence_share = 0.4;
  /// Interval at which a successor is sought for an attempt that stays silent.
  milliseconds silence_recheck{200};
  /// Time within which requests to an upstream that has told that it leaves
  /// have to end.
  milliseconds leaving_time{1800};
  /// After a response that ended with its connection, a connection that the
  /// upstream accepts has to stay open for this long to show that its process
  /// goes on. The end of such a response is delayed by it.
  milliseconds min_open_time{50};
  /// An upstream that refuses a connection after a response that ended with its
  /// connection has this long to show by a byte that it goes on. A working one
  /// sends a token every ten milliseconds or so.
  milliseconds life_sign_wait{50};
  /// An upstream that drops a connection after such a response is asked again
  /// this long after the response's end: a process that has ended no longer
  /// listens then. The end of the response is delayed by it.
  milliseconds listener_close_limit{100};
  /// Time limit of a request whose client states none. The route's timeout can
  /// shorten it; a timeout of 0 in the table does not.
  milliseconds default_time_limit{30000};
  /// Failed connection attempts after which a request is not retried.
  int max_connect_tries = 4;
  /// Retry-After where no upstream accepts requests: roughly the time until a
  /// new one is announced.
  milliseconds no_upstream_retry{700};
  /// Retry-After where an upstream declined or another node may be able to
  /// serve the request.
  milliseconds other_node_retry{100};
  /// Most bytes of a response, or of one event of a stream, that are kept until
  /// it is complete. An upstream that sends more counts as faulty.
  size_t max_buffered_response = 4194304;
  /// Reading from the upstream pauses while more bytes than this are queued for
  /// the client.
  size_t max_client_backlog = 262144;
  /// A client that takes no byte of its answer for this long is ended.
  milliseconds max_client_stall{10000};
  client_capacity clients;
  /// Clients may go by raised limits for this long before the tables that raise
  /// them are in force at this node.
  milliseconds max_tables_delay{0};
  /// New requests are rejected from this long after the shutdown request, so
  /// that those in flight can complete before shutdown_limit.
  milliseconds reject_new_after{2800};
  /// The process exits at most this long after the shutdown request.
  milliseconds shutdown_limit{7600};

  bool operator==(const relay_parameters&) const = default;
};

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_RELAY_SKYLARKCROFT_RELAY_PARAMETERS_H_
