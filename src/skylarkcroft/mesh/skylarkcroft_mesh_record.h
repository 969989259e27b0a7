#ifndef SKYLARKCROFT_MESH_SKYLARKCROFT_MESH_RECORD_H_
#define SKYLARKCROFT_MESH_SKYLARKCROFT_MESH_RECORD_H_

#include <cstdint>
#include <string>

namespace skylarkcroft {

/// One thing a node tells all others. Only its publisher writes it; of two
/// records with the same publisher and topic the one with the higher
/// incarnation, then the higher version, holds.
struct mesh_record {
  /// Name of the node it belongs to.
  std::string publisher;
  std::string topic;
  /// Start stamp of the publisher's process.
  int64_t incarnation = 0;
  /// Rises with every change within an incarnation.
  int64_t version = 0;
  /// Bytes whose form the topic defines, docs/mesh.md.
  std::string payload;

  bool operator==(const mesh_record&) const = default;
};

/// True when `left` replaces `right`, which has the same publisher and topic.
inline bool Newer(const mesh_record& left, const mesh_record& right) {
  return left.incarnation != right.incarnation
             ? left.incarnation > right.incarnation
             : left.version > right.version;
}

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_MESH_SKYLARKCROFT_MESH_RECORD_H_
