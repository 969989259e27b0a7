#ifndef SKYLARKCROFT_STORE_SKYLARKCROFT_TABLE_CHANGES_H_
#define SKYLARKCROFT_STORE_SKYLARKCROFT_TABLE_CHANGES_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "skylarkcroft/internal/skylarkcroft_time.h"
#include "skylarkcroft/store/skylarkcroft_row_store.h"

namespace skylarkcroft {

/// Every change of one table in a range of store versions, as a node that
/// watches the table passes it on to its peers. Without rows and with an empty
/// range it only tells of an era.
struct table_changes {
  std::string table;
  int64_t after = 0;  ///< Changes of this version and before are left out.
  int64_t up_to = 0;  ///< Newest version of the range.
  /// The store's clock by which these were all changes after `after`; empty
  /// when more had been made.
  std::optional<milliseconds> store_clock;
  std::vector<stored_row> rows;  ///< In the order of their versions.
  int64_t era = 0;               ///< Era of all versions here.

  bool operator==(const table_changes&) const = default;
};

/// Below the payload of a packet on any common network.
inline constexpr size_t kMaxChangesPacketBytes = 1200;

/// Encodes changes as datagrams that fit into one packet each and cover
/// consecutive ranges of versions. The format is CBOR with positional items.
/// A version whose rows are too large for a packet gets a datagram of its own
/// of up to `max_bytes`. The ranges from the first one that is larger than that
/// on are left out; peers then read them from the store.
std::vector<std::string> EncodeChanges(
    const table_changes& changes, size_t max_bytes = kMaxChangesPacketBytes);

/// Decodes one datagram; returns nothing if `bytes` holds no table changes.
std::optional<table_changes> DecodeChanges(std::string_view bytes);

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_STORE_SKYLARKCROFT_TABLE_CHANGES_H_
