#ifndef SKYLARKCROFT_PLACEMENT_SKYLARKCROFT_SERVICE_ROOM_H_
#define SKYLARKCROFT_PLACEMENT_SKYLARKCROFT_SERVICE_ROOM_H_

#include <algorithm>

#include "skylarkcroft/internal/skylarkcroft_time.h"

namespace skylarkcroft {

/// Load and capacity of a service over its upstreams that take requests, as far
/// as a node knows.
struct service_room {
  int running = 0;            ///< Requests in flight.
  int slots = 0;              ///< Batch slots.
  double cache_tokens = 0;    ///< Tokens that the requests may come to hold.
  double planned_tokens = 0;  ///< Tokens that requests are planned to hold.
  milliseconds mean_service_time{0};  ///< Time that a request is in flight.

  [[nodiscard]] double SlotsTaken() const {
    return static_cast<double>(running) / std::max(slots, 1);
  }
  /// The larger of the parts of the slots and of the planned cache taken.
  [[nodiscard]] double Fill() const {
    return std::max(SlotsTaken(),
                    planned_tokens > 0 ? cache_tokens / planned_tokens : 0);
  }

  bool operator==(const service_room&) const = default;
};

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_PLACEMENT_SKYLARKCROFT_SERVICE_ROOM_H_
