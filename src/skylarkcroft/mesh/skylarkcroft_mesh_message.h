#ifndef SKYLARKCROFT_MESH_SKYLARKCROFT_MESH_MESSAGE_H_
#define SKYLARKCROFT_MESH_SKYLARKCROFT_MESH_MESSAGE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "skylarkcroft/mesh/skylarkcroft_mesh_record.h"

namespace skylarkcroft {

enum class mesh_message_kind {
  kExchange = 1,  ///< Records; the receiver must reply.
  kReply = 2,     ///< Reply to an exchange.
  kUpdate = 3,    ///< Records only.
  kDirect = 4,    ///< Application payload for one member.
};

/// One message between two nodes. docs/mesh.md describes the wire format.
struct mesh_message {
  mesh_message_kind kind = mesh_message_kind::kUpdate;
  std::string sender;
  int64_t incarnation = 0;
  /// Increases with every message within the sender's incarnation.
  uint64_t sequence = 0;
  /// Sender's wall clock, milliseconds since the Unix epoch.
  int64_t sent_at_ms = 0;
  /// Name of the receiver; empty when the sender knows only its address.
  std::string addressee;
  /// Sequence of the exchange that this message replies to; 0 for others.
  uint64_t reply_to = 0;
  /// Revision of the sender's effective tables.
  int64_t revision = 0;
  /// When not 0: the receiver's incarnation as the sender knows it. Sent to
  /// members that do not reply, so that a process whose start time is lower
  /// than that of its predecessor learns why its messages are dropped.
  int64_t known_incarnation = 0;
  /// When not 0: the sender does not consider the receiver alive, based on this
  /// version of its member record in `known_incarnation`.
  int64_t suspected_version = 0;
  /// Fingerprints of all records that the sender has; empty when the message
  /// carries no digest.
  std::string digest;
  /// Fingerprints of the publishers whose records the sender requests.
  std::vector<uint32_t> requested_publishers;
  std::vector<mesh_record> records;
  /// Only for kDirect.
  std::string topic;
  std::string payload;

  bool operator==(const mesh_message&) const = default;
};

/// Why a received message was dropped.
enum class mesh_drop {
  kTruncated,
  kWrongVersion,
  kNotAuthentic,
  kMalformed,
  kMisaddressed,
  kOutOfDate,
  kReplayed,
  kOldIncarnation,
};
inline constexpr size_t kMeshDropCount = 8;

/// The reason's name in snake case, as used in metrics.
std::string_view ToString(mesh_drop reason);

/// Encodes `message` in the wire format and authenticates it with `key`.
std::string EncodeMeshMessage(const mesh_message& message,
                              std::string_view key);

/// Result of DecodeMeshMessage(): the message, or the reason for dropping it.
struct mesh_decode_result {
  std::optional<mesh_message> message;
  mesh_drop failure = mesh_drop::kMalformed;
};

/// Decodes one message. The body is parsed only after it is authenticated.
mesh_decode_result DecodeMeshMessage(std::string_view bytes,
                                     std::string_view key);

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_MESH_SKYLARKCROFT_MESH_MESSAGE_H_
