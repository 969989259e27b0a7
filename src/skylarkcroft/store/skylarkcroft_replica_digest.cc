#include "skylarkcroft/store/skylarkcroft_replica_digest.h"

#include <xxhash.h>

namespace skylarkcroft {
namespace {

uint64_t RowDigest(const std::string& key, int64_t version) {
  return XXH3_64bits_withSeed(key.data(), key.size(),
                              static_cast<uint64_t>(version));
}

}  // namespace

void replica_digest::Reset(const std::vector<stored_row>& rows) {
  versions_.clear();
  value_ = 0;
  for (const stored_row& row : rows) {
    Apply(row);
  }
}

void replica_digest::Apply(const stored_row& row) {
  const auto known = versions_.find(row.key);
  if (known != versions_.end()) {
    value_ ^= RowDigest(row.key, known->second);
    versions_.erase(known);
  }
  if (row.removed) {
    return;
  }
  versions_.emplace(row.key, row.version);
  value_ ^= RowDigest(row.key, row.version);
}

int64_t replica_digest::VersionOf(const std::string& key) const {
  const auto known = versions_.find(key);
  return known == versions_.end() ? 0 : known->second;
}

}  // namespace skylarkcroft
