#ifndef SKYLARKCROFT_PEERS_SKYLARKCROFT_FORWARDED_DATAGRAM_H_
#define SKYLARKCROFT_PEERS_SKYLARKCROFT_FORWARDED_DATAGRAM_H_

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "skylarkcroft/internal/skylarkcroft_endpoint.h"

namespace skylarkcroft {

/// A datagram for several peers that is sent to one of them, which passes the
/// payload on to the others.
struct forwarded_datagram {
  std::vector<endpoint> targets;  ///< Peers to pass the payload on to.
  std::string payload;

  bool operator==(const forwarded_datagram&) const = default;
};

/// The format is CBOR with positional items.
std::string EncodeForwarded(const forwarded_datagram& datagram);

/// Decodes a datagram; returns nothing if `bytes` is of another kind.
std::optional<forwarded_datagram> DecodeForwarded(std::string_view bytes);

/// A peer that gets a datagram from its sender, and those to which it passes it
/// on.
struct forward_group {
  endpoint first;
  std::vector<endpoint> others;

  bool operator==(const forward_group&) const = default;
};

/// Peers up to this number each get a datagram from its sender.
inline constexpr size_t kMaxDirectTargets = 16;

/// Divides `targets`, in their order, into groups of about the square root of
/// their number, so that a sender's link is not what delays a broadcast to many
/// peers. Groups are so small that the addresses fit in a packet beside the
/// payload. Up to kMaxDirectTargets each peer is a group of its own.
std::vector<forward_group> MakeForwardGroups(
    const std::vector<endpoint>& targets);

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_PEERS_SKYLARKCROFT_FORWARDED_DATAGRAM_H_
