#ifndef SKYLARKCROFT_CONTROL_SKYLARKCROFT_LEASE_RECORD_H_
#define SKYLARKCROFT_CONTROL_SKYLARKCROFT_LEASE_RECORD_H_

#include <cstdint>
#include <optional>
#include <string>

#include "skylarkcroft/platform/skylarkcroft_table_service.h"

namespace skylarkcroft {

/// A process that may hold leases. `incarnation` is different after every
/// restart.
struct lease_member {
  std::string name;
  std::string incarnation;

  bool operator==(const lease_member&) const = default;
};

/// The stored lease of one pool. It contains no timestamps, because the clocks
/// of two hosts cannot be compared.
struct lease_record {
  lease_member holder;
  /// Fencing token; increases with each change of holder.
  int64_t fence = 0;
  /// Lease time that the holder uses, in milliseconds. Other members wait for
  /// the larger of this and their own lease time before they take over.
  int64_t lease_time_ms = 0;
  /// The holder has released the lease and no longer acts under it.
  bool released = false;

  bool operator==(const lease_record&) const = default;
};

/// Key of the row that stores the lease of `pool_name`.
row_key LeaseKey(const std::string& pool_name);

std::string EncodeLease(const lease_record& record);

/// Returns nothing when `document` is not a valid lease record.
std::optional<lease_record> DecodeLease(const std::string& document);

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_CONTROL_SKYLARKCROFT_LEASE_RECORD_H_
