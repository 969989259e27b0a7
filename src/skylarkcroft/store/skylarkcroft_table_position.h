#ifndef SKYLARKCROFT_STORE_SKYLARKCROFT_TABLE_POSITION_H_
#define SKYLARKCROFT_STORE_SKYLARKCROFT_TABLE_POSITION_H_

#include <cstdint>
#include <optional>

#include "skylarkcroft/internal/skylarkcroft_time.h"
#include "skylarkcroft/store/skylarkcroft_store_position.h"

namespace skylarkcroft {

/// How current a node's replica of a table is, as reported to its peers: every
/// change made before the store's clock showed `store_clock` is at
/// `newest_change` or before.
struct table_position {
  store_position newest_change;
  milliseconds store_clock{0};
  /// Digest of the replica's rows up to newest_change (replica_digest); empty
  /// where it is not told.
  std::optional<uint64_t> digest{};

  bool operator==(const table_position&) const = default;
};

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_STORE_SKYLARKCROFT_TABLE_POSITION_H_
