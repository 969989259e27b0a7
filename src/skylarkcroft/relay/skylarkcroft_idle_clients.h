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

/// Whether `clients` connections leave too little room for new ones.
bool HasExcess(size_t clients, const client_capacity& capacity);

/// Returns the numbers of the connections to close, of `clients` in all: those
/// that have been idle longest.
std::vector<uint64_t> ChooseIdleToClose(std::vector<idle_client> idle,
                                        size_t clients,
                                        const client_capacity& capacity,
                                        time_point now);

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_RELAY_SKYLARKCROFT_IDLE_CLIENTS_H_
