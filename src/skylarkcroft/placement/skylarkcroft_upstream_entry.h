#ifndef SKYLARKCROFT_PLACEMENT_SKYLARKCROFT_UPSTREAM_ENTRY_H_
#define SKYLARKCROFT_PLACEMENT_SKYLARKCROFT_UPSTREAM_ENTRY_H_

#include <cstdint>
#include <string>

#include "skylarkcroft/internal/skylarkcroft_endpoint.h"

namespace skylarkcroft {

/// One upstream as it announces itself. `incarnation` differs with every start
/// under the same id.
struct upstream_entry {
  std::string id;
  std::string service;
  endpoint address;
  std::string availability_zone;
  int slots = 0;
  bool leaving = false;
  bool reclaimable = false;
  int64_t incarnation = 0;

  bool operator==(const upstream_entry&) const = default;
};

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_PLACEMENT_SKYLARKCROFT_UPSTREAM_ENTRY_H_
