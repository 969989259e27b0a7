#ifndef SKYLARKCROFT_MESH_SKYLARKCROFT_MEMBER_LIST_H_
#define SKYLARKCROFT_MESH_SKYLARKCROFT_MEMBER_LIST_H_

#include <map>
#include <string>
#include <vector>

#include "skylarkcroft/mesh/skylarkcroft_member.h"
#include "skylarkcroft/mesh/skylarkcroft_mesh_record.h"

namespace skylarkcroft {

/// How long a member stays in a state.
struct member_timeouts {
  /// Time that a suspect has to publish a newer record before it is removed.
  milliseconds suspect_timeout{3000};
  /// Time for which a removed member is kept and its address is still tried.
  milliseconds forget_after{6 * 3600 * 1000};

  bool operator==(const member_timeouts&) const = default;
};

/// The other nodes and their states. A member that stops replying goes from
/// alive to suspect to removed and is then forgotten. A record of it with a
/// higher version or incarnation makes it alive again.
class member_list {
 public:
  explicit member_list(member_timeouts timeouts) : timeouts_(timeouts) {}

  /// Updates the member from a record that the record store has accepted.
  void HandleMemberRecord(const mesh_record& record,
                          const member_details& details, time_point now);
  /// Records the arrival of an authenticated message from `name`, whose
  /// effective tables have `revision`.
  void RecordMessage(const std::string& name, int64_t incarnation,
                     int64_t revision, time_point now);
  /// Marks a member as suspect, unless its record is newer than `version` or
  /// of another incarnation. Returns whether its state changed.
  bool Suspect(const std::string& name, int64_t incarnation, int64_t version,
               time_point now);
  /// Records that the platform has terminated the host of a member. Does
  /// nothing unless the member is removed.
  void RecordHostTerminated(const std::string& name);
  /// Applies the timeouts. Returns the names that were forgotten.
  std::vector<std::string> Tick(time_point now);

  /// Returns null when the member is not known.
  [[nodiscard]] const member* Find(const std::string& name) const;
  /// Returns the member that listens at `mesh_address`, or null. Removed
  /// members are skipped.
  [[nodiscard]] const member* FindAt(const endpoint& mesh_address) const;
  /// All members by name, removed ones included.
  [[nodiscard]] const std::map<std::string, member>& all() const {
    return members_;
  }
  /// Number of members that are alive or suspect.
  [[nodiscard]] size_t active_count() const;

 private:
  member_timeouts timeouts_;
  std::map<std::string, member> members_;
};

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_MESH_SKYLARKCROFT_MEMBER_LIST_H_
