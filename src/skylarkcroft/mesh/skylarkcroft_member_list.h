#ifndef SKYLARKCROFT_MESH_SKYLARKCROFT_MEMBER_LIST_H_
#define SKYLARKCROFT_MESH_SKYLARKCROFT_MEMBER_LIST_H_

#include <map>
#include <string>
#include <vector>

#include "skylarkcroft/mesh/skylarkcroft_member.h"
#include "skylarkcroft/mesh/skylarkcroft_mesh_record.h"

namespace skylarkcroft {

/// Bounds of the member states.
struct member_timeouts {
  /// Time that a suspect has to refute before it is removed.
  milliseconds suspicion{3000};
  /// Time for which a removed member is remembered, and sought.
  milliseconds forget{6 * 3600 * 1000};

  bool operator==(const member_timeouts&) const = default;
};

/// The other nodes and whether they can be reached: alive, then suspect, then
/// removed, then forgotten. A higher version or incarnation of a member's
/// record makes it alive again.
class member_list {
 public:
  explicit member_list(member_timeouts timeouts) : timeouts_(timeouts) {}

  /// Takes in a member record that the record store took.
  void Note(const mesh_record& record, const member_details& details,
            time_point now);
  /// Notes an authenticated message of `name`, which had `revision` in force.
  void NoteHeard(const std::string& name, int64_t incarnation, int64_t revision,
                 time_point now);
  /// Suspects this version of a member; a newer one is not touched. Returns
  /// whether that is news.
  bool Suspect(const std::string& name, int64_t incarnation, int64_t version,
               time_point now);
  /// Notes that the platform has ended the host of a removed member.
  void NoteEnded(const std::string& name);
  /// Applies the timeouts. Returns the names that were forgotten.
  std::vector<std::string> Tick(time_point now);

  /// The member, or null.
  [[nodiscard]] const member* Find(const std::string& name) const;
  /// The member that listens at `mesh_address` and is not removed, or null.
  [[nodiscard]] const member* FindAt(const endpoint& mesh_address) const;
  /// Every member that is not forgotten, by name.
  [[nodiscard]] const std::map<std::string, member>& all() const {
    return members_;
  }
  /// Members that are alive or suspect.
  [[nodiscard]] size_t counted() const;

 private:
  member_timeouts timeouts_;
  std::map<std::string, member> members_;
};

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_MESH_SKYLARKCROFT_MEMBER_LIST_H_
