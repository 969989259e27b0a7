#ifndef SKYLARKCROFT_TABLES_SKYLARKCROFT_EDIT_PROPAGATION_H_
#define SKYLARKCROFT_TABLES_SKYLARKCROFT_EDIT_PROPAGATION_H_

#include <cstdint>
#include <string>
#include <vector>

#include "skylarkcroft/internal/skylarkcroft_time.h"

namespace skylarkcroft {

class member_list;

/// Which nodes serve with an accepted edit of the tables.
struct edit_propagation {
  /// Nodes whose active tables include the edit.
  std::vector<std::string> active_on;
  /// Nodes that accept no new requests until they have received the edit.
  std::vector<std::string> stopped;
  /// Nodes that may still serve with older tables.
  std::vector<std::string> pending;

  bool operator==(const edit_propagation&) const = default;
};

/// An accepted edit whose propagation to the other nodes is tracked.
struct tracked_edit {
  int64_t revision = 0;
  /// When this node learned that the edit was committed.
  time_point accepted_at{};

  bool operator==(const tracked_edit&) const = default;
};

/// Classifies `members` by whether `edit` is active on them. A member that has
/// sent nothing since the edit counts as stopped once more than
/// `staleness_bound` has passed, provided that it is the only silent member: a
/// node stops serving when neither a peer nor the store confirms its tables
/// within that bound. No peer can have confirmed its old tables, and the store
/// would have returned the edit. Two silent members could confirm each other's
/// old tables, so both stay pending.
edit_propagation AssessPropagation(const member_list& members,
                                   const tracked_edit& edit,
                                   milliseconds staleness_bound,
                                   time_point now);

/// The nodes in `propagation.pending` that the response to the editor should
/// wait for: all but the removed members.
std::vector<std::string> MembersToAwait(const edit_propagation& propagation,
                                        const member_list& members);

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_TABLES_SKYLARKCROFT_EDIT_PROPAGATION_H_
