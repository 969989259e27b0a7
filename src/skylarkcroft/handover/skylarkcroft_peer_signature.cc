#include "skylarkcroft/handover/skylarkcroft_peer_signature.h"

#include <openssl/crypto.h>

#include <charconv>
#include <cstdlib>

#include "skylarkcroft/internal/skylarkcroft_digest.h"

namespace skylarkcroft {
namespace {

constexpr int64_t kMaxTimeDifferenceMs = 30000;

std::string SignAt(std::string_view key, std::string_view body,
                   int64_t signed_at_ms) {
  std::string text = std::to_string(signed_at_ms) + ":";
  text += body;
  return std::to_string(signed_at_ms) + ":" + Sha256Hex(HmacSha256(key, text));
}

}  // namespace

std::string SignForPeer(std::string_view key, std::string_view body,
                        int64_t now_ms) {
  return SignAt(key, body, now_ms);
}

bool VerifyPeer(std::string_view key, std::string_view body,
                const std::string& signature, int64_t now_ms) {
  int64_t signed_at_ms = 0;
  std::from_chars(signature.data(), signature.data() + signature.size(),
                  signed_at_ms);
  if (std::abs(now_ms - signed_at_ms) > kMaxTimeDifferenceMs) {
    return false;
  }
  const std::string expected = SignAt(key, body, signed_at_ms);
  return expected.size() == signature.size() &&
         CRYPTO_memcmp(expected.data(), signature.data(), expected.size()) == 0;
}

}  // namespace skylarkcroft
