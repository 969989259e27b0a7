#ifndef SKYLARKCROFT_MESH_SKYLARKCROFT_MEMBER_H_
#define SKYLARKCROFT_MESH_SKYLARKCROFT_MEMBER_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "skylarkcroft/internal/skylarkcroft_endpoint.h"
#include "skylarkcroft/internal/skylarkcroft_time.h"

namespace skylarkcroft {

/// What a node tells the others about itself.
struct member_details {
  endpoint mesh;
  endpoint callers;
  endpoint operators;
  std::string availability_zone;
  std::string region;
  /// True from the start of its shutdown on.
  bool leaving = false;

  bool operator==(const member_details&) const = default;
};

/// Whether a member can be reached.
enum class member_state {
  kAlive,
  kSuspect,  ///< Did not answer; counted as a member until the timeout.
  kRemoved,  ///< Not counted; its record is kept, so that it cannot come back
             ///< by an old word.
};

/// Name in snake case.
std::string_view ToString(member_state state);

/// Another node, as this one knows it.
struct member {
  std::string name;
  int64_t incarnation = 0;
  /// Version of the record that `details` is from.
  int64_t version = 0;
  member_details details;
  member_state state = member_state::kAlive;
  /// Start of the present state.
  time_point since{};
  /// Last authenticated message from it.
  std::optional<time_point> heard_at;
  /// Highest revision of the tables it said were in force.
  int64_t revision = 0;
  /// Whether the platform has ended its host.
  bool ended = false;

  /// True when it cannot be serving anywhere, also out of reach.
  [[nodiscard]] bool gone() const {
    return state == member_state::kRemoved && (details.leaving || ended);
  }
  /// True when work may be given to it.
  [[nodiscard]] bool usable() const {
    return state == member_state::kAlive && !details.leaving;
  }
};

/// The payload of a member record.
std::string EncodeMemberDetails(const member_details& details);
/// Empty when `payload` is not of that form.
std::optional<member_details> DecodeMemberDetails(std::string_view payload);

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_MESH_SKYLARKCROFT_MEMBER_H_
