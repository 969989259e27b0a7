#ifndef SKYLARKCROFT_STORE_SKYLARKCROFT_REPLICA_DIGEST_H_
#define SKYLARKCROFT_STORE_SKYLARKCROFT_REPLICA_DIGEST_H_

#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

#include "skylarkcroft/store/skylarkcroft_row_store.h"

namespace skylarkcroft {

/// A digest of which rows a replica of a table has, and in which versions.
/// Replicas with the same rows have the same digest, in whatever order they
/// got them.
class replica_digest {
 public:
  /// The replica now has exactly these rows.
  void Reset(const std::vector<stored_row>& rows);
  /// The replica takes in a changed or removed row.
  void Apply(const stored_row& row);

  [[nodiscard]] uint64_t value() const { return value_; }
  /// The version of the row in the replica; 0 for a row that it does not have.
  [[nodiscard]] int64_t VersionOf(const std::string& key) const;

 private:
  std::unordered_map<std::string, int64_t> versions_;
  uint64_t value_ = 0;
};

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_STORE_SKYLARKCROFT_REPLICA_DIGEST_H_
