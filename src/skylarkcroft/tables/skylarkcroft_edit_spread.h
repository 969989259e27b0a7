#ifndef SKYLARKCROFT_TABLES_SKYLARKCROFT_EDIT_SPREAD_H_
#define SKYLARKCROFT_TABLES_SKYLARKCROFT_EDIT_SPREAD_H_

#include <cstdint>
#include <string>
#include <vector>

#include "skylarkcroft/internal/skylarkcroft_time.h"

namespace skylarkcroft {

class member_list;

/// Which nodes serve under an accepted edit.
struct edit_spread {
  std::vector<std::string> in_force_on;
  /// Nodes that take no new requests until they have the edit.
  std::vector<std::string> stopped;
  /// Nodes of which neither is known.
  std::vector<std::string> pending;

  bool operator==(const edit_spread&) const = default;
};

/// An edit whose spread is watched.
struct watched_edit {
  int64_t revision = 0;
  /// When its commit was known here.
  time_point accepted_at{};

  bool operator==(const watched_edit&) const = default;
};

/// Sorts `members` by what they serve under. A member that was not heard since
/// the edit counts as stopped once `staleness_bound` has passed, provided that
/// it is the only such member: alone it finds nobody to confirm its tables,
/// and the store would have given it the edit. Two could confirm each other.
edit_spread AssessSpread(const member_list& members, const watched_edit& edit,
                         milliseconds staleness_bound, time_point now);

/// Members of `spread.pending` that an answer should still wait for.
std::vector<std::string> Awaited(const edit_spread& spread,
                                 const member_list& members);

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_TABLES_SKYLARKCROFT_EDIT_SPREAD_H_
