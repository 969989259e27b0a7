#ifndef SKYLARKCROFT_MESH_SKYLARKCROFT_MEMBER_H_
#define SKYLARKCROFT_MESH_SKYLARKCROFT_MEMBER_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "skylarkcroft/internal/skylarkcroft_endpoint.h"
#include "skylarkcroft/internal/skylarkcroft_time.h"

namespace skylarkcroft {

/// What a node publishes about itself.
struct member_details {
  /// Listens for messages of other nodes.
  endpoint mesh;
  /// Listens for callers.
  endpoint callers;
  /// Listens for operators and for calls from peers.
  endpoint operators;
  std::string availability_zone;
  std::string region;
  /// True once the node has started to shut down.
  bool is_draining = false;

  bool operator==(const member_details&) const = default;
};

/// Whether a member can be reached.
enum class member_state {
  kAlive,
  kSuspect,  ///< Did not reply; counted as a member until the timeout.
  kRemoved,  ///< Not counted as a member. Its record is kept so that an
             ///< outdated copy from a peer cannot bring it back.
};

/// The state's name in snake case.
std::string_view ToString(member_state state);

/// What this node knows about another node.
struct member {
  std::string name;
  int64_t incarnation = 0;
  /// Version of the member record that `details` was decoded from.
  int64_t version = 0;
  member_details details;
  member_state state = member_state::kAlive;
  /// When the member entered `state`.
  time_point since{};
  /// When its last authenticated message arrived.
  std::optional<time_point> last_heard_at;
  /// Highest revision that it has reported for its effective tables.
  int64_t revision = 0;
  /// Whether the platform has terminated its host.
  bool host_terminated = false;

  /// True when the node is known to have stopped serving, as opposed to being
  /// merely unreachable from here.
  [[nodiscard]] bool known_stopped() const {
    return state == member_state::kRemoved &&
           (details.is_draining || host_terminated);
  }
  /// True when requests may be passed to it.
  [[nodiscard]] bool accepts_requests() const {
    return state == member_state::kAlive && !details.is_draining;
  }
};

/// Encodes the payload of a member record as MessagePack.
std::string EncodeMemberDetails(const member_details& details);
/// Returns nullopt when `payload` is malformed.
std::optional<member_details> DecodeMemberDetails(std::string_view payload);

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_MESH_SKYLARKCROFT_MEMBER_H_
