#ifndef SKYLARKCROFT_HANDOVER_SKYLARKCROFT_SUCCESSORS_H_
#define SKYLARKCROFT_HANDOVER_SKYLARKCROFT_SUCCESSORS_H_

#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace skylarkcroft {

/// Announces that a draining node has handed its requests over to another node.
/// Payload of a mesh record under kDrainTopic.
struct drain_notice {
  /// `NODE.INCARNATION` prefixes of the ids of the requests handed over.
  std::vector<std::string> owners;
  /// Name of the node that took them over.
  std::string successor;

  bool operator==(const drain_notice&) const = default;
};

/// Topic of the mesh records that carry a drain_notice.
inline constexpr const char* kDrainTopic = "drain";

/// Encodes `notice` as JSON.
std::string EncodeDrain(const drain_notice& notice);
/// Returns nullopt when `payload` is malformed.
std::optional<drain_notice> DecodeDrain(const std::string& payload);

/// Maps the request owners of drained nodes to the nodes that took over.
class successor_table {
 public:
  /// Stores `notice`, which replaces earlier notices about the same owners.
  void Record(const drain_notice& notice);

  /// Returns the name of the node that took over the requests of `owner`; empty
  /// when no handover of them is known.
  [[nodiscard]] std::string HolderOf(const std::string& owner) const;

 private:
  std::map<std::string, std::string> holders_;
  // Oldest first; used to limit the size of holders_.
  std::deque<std::string> owners_by_age_;
};

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_HANDOVER_SKYLARKCROFT_SUCCESSORS_H_
