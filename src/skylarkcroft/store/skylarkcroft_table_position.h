#ifndef SKYLARKCROFT_STORE_SKYLARKCROFT_TABLE_POSITION_H_
#define SKYLARKCROFT_STORE_SKYLARKCROFT_TABLE_POSITION_H_

#include <cstdint>

#include "skylarkcroft/internal/skylarkcroft_time.h"

namespace skylarkcroft {

/// How current a node's replica of a table is, as reported to its peers: every
/// change made before the store's clock showed `store_clock` has a version of
/// at most `newest_change`.
struct table_position {
  int64_t newest_change = 0;
  milliseconds store_clock{0};

  bool operator==(const table_position&) const = default;
};

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_STORE_SKYLARKCROFT_TABLE_POSITION_H_
