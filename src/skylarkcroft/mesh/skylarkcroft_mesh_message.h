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
  kExchange = 1,  ///< Records, and a request for a reply.
  kReply = 2,     ///< Answer to an exchange.
  kUpdate = 3,    ///< Records only.
  kDirect = 4,    ///< Application payload for one member.
};

/// One message between two nodes. The wire form is described in docs/mesh.md.
struct mesh_message {
  mesh_message_kind kind = mesh_message_kind::kUpdate;
  std::string sender;
  int64_t incarnation = 0;
  /// Rises with every message of the sender's incarnation.
  uint64_t sequence = 0;
  /// Milliseconds since the Unix epoch at the sender.
  int64_t sent_at_ms = 0;
  /// Empty when the sender knows only an address.
  std::string addressee;
  /// For a reply, the sequence of the exchange it answers.
  uint64_t answers = 0;
  /// Revision of the tables in force at the sender.
  int64_t revision = 0;
  /// When not 0: the addressee's incarnation as the sender knows it. Told to
  /// members that do not answer, so that a process whose start stamp is too low
  /// finds out.
  int64_t known_incarnation = 0;
  /// When not 0: the sender suspects this version of that incarnation.
  int64_t suspected_version = 0;
  /// Fingerprints of all records the sender holds; empty for none.
  std::string digest;
  /// Publishers, by fingerprint, whose records the sender asks for.
  std::vector<uint32_t> wanted;
  std::vector<mesh_record> records;
  /// Only for kDirect.
  std::string topic;
  std::string payload;

  bool operator==(const mesh_message&) const = default;
};

/// Why a received message was not used.
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

/// Name in snake case, as in counters.
std::string_view ToString(mesh_drop reason);

/// The wire form, authenticated under `key`.
std::string EncodeMeshMessage(const mesh_message& message,
                              std::string_view key);

/// What DecodeMeshMessage() found: a message, or why there is none.
struct mesh_decoding {
  std::optional<mesh_message> message;
  mesh_drop failure = mesh_drop::kMalformed;
};

/// Checks the authenticity before anything else is read.
mesh_decoding DecodeMeshMessage(std::string_view bytes, std::string_view key);

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_MESH_SKYLARKCROFT_MESH_MESSAGE_H_
