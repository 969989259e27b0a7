#ifndef SKYLARKCROFT_RELAY_SKYLARKCROFT_IDLE_CLIENTS_H_
#define SKYLARKCROFT_RELAY_SKYLARKCROFT_IDLE_CLIENTS_H_

#include <cstddef>
#include <cstdint>
#include <vector>

#include "skylarkcroft/internal/skylarkcroft_time.h"

namespace skylarkcroft {

/// A client connection that neither reads nor serves a request.
struct idle_client {
  uint64_t number = 0;
  time_point idle_since{};

  bool operator==(const idle_client&) const = default;
};

/// The first request on a connection arrives within this time of its
/// acceptance, and the next one of a client that sends many a second within
/// this time of the answer: the second that clients allow a connection to be
/// established, and the delay of links and of a packet that is sent again.
constexpr milliseconds kMaxRequestDelay{1500};

/// Bounds of a node's client connections.
struct client_capacity {
  size_t max_clients = 3500;
  /// Above this share of them, idle ones are closed down to it, so that clients
  /// that keep connections without using them leave room for others.
  double max_share_before_closing = 0.9;
  /// A connection that has been idle for less is never closed: its next request
  /// may be on its way.
  milliseconds min_idle{500};

  bool operator==(const client_capacity&) const = default;
};

/// Returns how many of at most `max_clients` clients a process with
/// `file_descriptors` may have, so that some are left for connections to
/// upstreams; 0 descriptors mean no bound.
size_t MaxClients(size_t max_clients, int64_t file_descriptors);

/// Whether `clients` connections leave too little room for new ones.
bool HasExcess(size_t clients, const client_capacity& capacity);

/// Returns the numbers of the connections to close, of `clients` in all: those
/// that have been idle longest.
std::vector<uint64_t> ChooseIdleToClose(std::vector<idle_client> idle,
                                        size_t clients,
                                        const client_capacity& capacity,
                                        time_point now);

/// Whether a request may be on its way to `client`.
bool MayAwaitRequest(const idle_client& client, time_point now);

/// Returns the numbers of the connections to close while the process shuts
/// down: those to which no request can be on its way.
std::vector<uint64_t> ChooseIdleToLeave(const std::vector<idle_client>& idle,
                                        time_point now);

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_RELAY_SKYLARKCROFT_IDLE_CLIENTS_H_
