#ifndef SKYLARKCROFT_HANDOVER_SKYLARKCROFT_PEER_SIGNATURE_H_
#define SKYLARKCROFT_HANDOVER_SKYLARKCROFT_PEER_SIGNATURE_H_

#include <cstdint>
#include <string>
#include <string_view>

namespace skylarkcroft {

/// Request header with the signature of a call between two nodes.
inline constexpr const char* kPeerSignatureHeader = "X-Peer-Signature";

/// Returns `MILLISECONDS:HMAC`. The HMAC covers the time (milliseconds since
/// the Unix epoch) and `body`; `key` is the key that the nodes share.
std::string SignForPeer(std::string_view key, std::string_view body,
                        int64_t now_ms);

/// Returns whether `signature` is valid for `body` and its time differs from
/// `now_ms` by at most 30 seconds.
bool VerifyPeer(std::string_view key, std::string_view body,
                const std::string& signature, int64_t now_ms);

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_HANDOVER_SKYLARKCROFT_PEER_SIGNATURE_H_
