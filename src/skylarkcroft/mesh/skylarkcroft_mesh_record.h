#ifndef SKYLARKCROFT_MESH_SKYLARKCROFT_MESH_RECORD_H_
#define SKYLARKCROFT_MESH_SKYLARKCROFT_MESH_RECORD_H_

#include <cstdint>
#include <string>

namespace skylarkcroft {

/// A piece of state that one node publishes to all others. Only the publisher
/// writes it. Of two records with the same publisher and topic, the one with
/// the higher incarnation is valid, and within an incarnation the higher
/// version.
struct mesh_record {
  /// Name of the node that writes the record.
  std::string publisher;
  std::string topic;
  /// Start time of the publisher's process, milliseconds since the Unix epoch.
  int64_t incarnation = 0;
  /// Increases with every change within an incarnation.
  int64_t version = 0;
  /// The format depends on the topic, see docs/mesh.md.
  std::string payload;

  bool operator==(const mesh_record&) const = default;
};

/// True when `left` replaces `right`. Both must have the same publisher and
/// topic.
inline bool Newer(const mesh_record& left, const mesh_record& right) {
  return left.incarnation != right.incarnation
             ? left.incarnation > right.incarnation
             : left.version > right.version;
}

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_MESH_SKYLARKCROFT_MESH_RECORD_H_
