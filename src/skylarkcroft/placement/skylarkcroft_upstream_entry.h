#ifndef SKYLARKCROFT_PLACEMENT_SKYLARKCROFT_UPSTREAM_ENTRY_H_
#define SKYLARKCROFT_PLACEMENT_SKYLARKCROFT_UPSTREAM_ENTRY_H_

#include <cstdint>
#include <string>

#include "skylarkcroft/internal/skylarkcroft_endpoint.h"
#include "skylarkcroft/internal/skylarkcroft_time.h"

namespace skylarkcroft {

/// One upstream as it registers itself in the store.
struct upstream_entry {
  std::string id;
  std::string service;
  endpoint address;
  std::string availability_zone;
  int slots = 0;             ///< Requests that it processes at the same time.
  bool is_draining = false;  ///< It is draining and takes no more requests.
  bool reclaimable = false;  ///< The cloud may reclaim it at short notice.
  int64_t incarnation = 0;   ///< Differs with every start under the same id.
  /// Time from the start of draining until it exits; 0 when it is not known.
  milliseconds exits_after{0};
  /// Time for which its caches will be cold, as it estimated when it wrote the
  /// entry; 0 when it is not known. A hint.
  milliseconds cold_for{0};
  std::string version{};  ///< Of its service; empty when it states none.

  bool operator==(const upstream_entry&) const = default;
};

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_PLACEMENT_SKYLARKCROFT_UPSTREAM_ENTRY_H_
