#ifndef SKYLARKCROFT_CONTROL_SKYLARKCROFT_LEASE_RECORD_H_
#define SKYLARKCROFT_CONTROL_SKYLARKCROFT_LEASE_RECORD_H_

#include <cstdint>
#include <optional>
#include <string>

#include "skylarkcroft/platform/skylarkcroft_table_service.h"

namespace skylarkcroft {

/// A process that may hold leases. `incarnation` differs with every start.
struct lease_member {
  std::string name;
  std::string incarnation;

  bool operator==(const lease_member&) const = default;
};

/// The stored lease of one pool. No member is an instant: clocks of two hosts
/// are never compared.
struct lease_record {
  lease_member holder;
  /// Raised by each change of holder, never lowered.
  int64_t fence = 0;
  /// Lease time the holder goes by, in milliseconds. A waiter waits out the
  /// larger of this and its own.
  int64_t lease_time_ms = 0;
  /// The holder has given the lease back and acts no more.
  bool released = false;

  bool operator==(const lease_record&) const = default;
};

/// Key of the row of `pool_name`.
row_key LeaseKey(const std::string& pool_name);

std::string EncodeLease(const lease_record& record);

/// Empty when `document` is not a lease.
std::optional<lease_record> DecodeLease(const std::string& document);

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_CONTROL_SKYLARKCROFT_LEASE_RECORD_H_
