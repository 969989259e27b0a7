#ifndef SKYLARKCROFT_STORE_SKYLARKCROFT_REPLICA_AUDIT_H_
#define SKYLARKCROFT_STORE_SKYLARKCROFT_REPLICA_AUDIT_H_

#include <cstdint>
#include <optional>

#include "skylarkcroft/internal/skylarkcroft_time.h"
#include "skylarkcroft/store/skylarkcroft_table_position.h"

namespace skylarkcroft {

/// Compares a replica of a table with those of the peers. Replicas that end at
/// the same change have the same rows, so one whose digest most peers do not
/// share has missed a change.
class replica_audit {
 public:
  /// `min_interval`: least time between two findings, so that replicas which
  /// cannot become equal do not read the table again and again.
  explicit replica_audit(milliseconds min_interval)
      : min_interval_(min_interval) {}

  /// Takes in a peer's position, beside that of the replica. Returns whether
  /// the replica has to be read again: at its newest change more peers have
  /// told another digest than the same.
  [[nodiscard]] bool OnPeerReport(const table_position& peer,
                                  const table_position& own, time_point now);

 private:
  milliseconds min_interval_;
  /// What the counts are about.
  store_position newest_change_;
  std::optional<uint64_t> digest_;
  int agreeing_ = 0;
  int differing_ = 0;
  std::optional<time_point> found_at_;
};

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_STORE_SKYLARKCROFT_REPLICA_AUDIT_H_
