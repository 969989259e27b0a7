#include "skylarkcroft/handover/skylarkcroft_peer_signature.h"

#include <openssl/crypto.h>

#include <charconv>
#include <cstdlib>

#include "skylarkcroft/internal/skylarkcroft_digest.h"

namespace skylarkcroft {
namespace {

constexpr int64_t kFreshnessMs = 30000;

std::string Stamp(std::string_view key, std::string_view body,
                  int64_t stamp_ms) {
  std::string text = std::to_string(stamp_ms) + ":";
  text += body;
  return std::to_string(stamp_ms) + ":" + Sha256Hex(HmacSha256(key, text));
}

}  // namespace

std::string SignForPeer(std::string_view key, std::string_view body,
                        int64_t now_ms) {
  return Stamp(key, body, now_ms);
}

bool VerifyPeer(std::string_view key, std::string_view body,
                const std::string& signature, int64_t now_ms) {
  int64_t stamp_ms = 0;
  std::from_chars(signature.data(), signature.data() + signature.size(),
                  stamp_ms);
  if (std::abs(now_ms - stamp_ms) > kFreshnessMs) {
    return false;
  }
  const std::string expected = Stamp(key, body, stamp_ms);
  return expected.size() == signature.size() &&
         CRYPTO_memcmp(expected.data(), signature.data(), expected.size()) == 0;
}

}  // namespace skylarkcroft
