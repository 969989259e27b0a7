#ifndef SKYLARKCROFT_HANDOVER_SKYLARKCROFT_PEER_SIGNATURE_H_
#define SKYLARKCROFT_HANDOVER_SKYLARKCROFT_PEER_SIGNATURE_H_

#include <cstdint>
#include <string>
#include <string_view>

namespace skylarkcroft {

/// Request header that carries the signature of one node's call to another.
inline constexpr const char* kPeerSignatureHeader = "X-Peer-Signature";

/// `MILLISECONDS:HMAC` over the time (milliseconds since the Unix epoch) and
/// `body`, under the key that the nodes share.
std::string SignForPeer(std::string_view key, std::string_view body,
                        int64_t now_ms);

/// True when `signature` fits `body` and is at most 30 seconds off `now_ms`.
bool VerifyPeer(std::string_view key, std::string_view body,
                const std::string& signature, int64_t now_ms);

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_HANDOVER_SKYLARKCROFT_PEER_SIGNATURE_H_
