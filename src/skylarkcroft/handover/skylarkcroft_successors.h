#ifndef SKYLARKCROFT_HANDOVER_SKYLARKCROFT_SUCCESSORS_H_
#define SKYLARKCROFT_HANDOVER_SKYLARKCROFT_SUCCESSORS_H_

#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace skylarkcroft {

/// Tells that a leaving node gave its requests to another; the payload of a
/// record under kDrainTopic.
struct drain_notice {
  /// `NODE.INCARNATION` prefixes of the ids of those requests.
  std::vector<std::string> owners;
  std::string successor;

  bool operator==(const drain_notice&) const = default;
};

/// Topic of the mesh records that tell of a drain.
inline constexpr const char* kDrainTopic = "drain";

std::string EncodeDrain(const drain_notice& notice);
/// Empty when `payload` is not of that form.
std::optional<drain_notice> DecodeDrain(const std::string& payload);

/// Which nodes have the requests of nodes that have left.
class successors {
 public:
  /// The later notice about an owner holds.
  void Note(const drain_notice& notice);

  /// Name of the node that has the requests of `owner`; empty when none is
  /// known to have taken them over.
  [[nodiscard]] std::string HolderOf(const std::string& owner) const;

 private:
  std::map<std::string, std::string> holders_;
  // Oldest first, for bounding holders_.
  std::deque<std::string> order_;
};

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_HANDOVER_SKYLARKCROFT_SUCCESSORS_H_
