#include "skylarkcroft/internal/skylarkcroft_digest.h"

#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>

#include <array>
#include <vector>

#include "skylarkcroft/internal/skylarkcroft_error.h"

namespace skylarkcroft {
namespace {

std::string ToHex(const unsigned char* bytes, size_t count) {
  constexpr const char* kDigits = "0123456789abcdef";
  constexpr unsigned kHighShift = 4;
  constexpr unsigned kLowMask = 0xf;
  std::string text;
  text.reserve(count * 2);
  for (size_t index = 0; index < count; ++index) {
    text += kDigits[bytes[index] >> kHighShift];
    text += kDigits[bytes[index] & kLowMask];
  }
  return text;
}

}  // namespace

std::string Sha256Hex(std::string_view text) {
  std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
  unsigned size = 0;
  EVP_Digest(text.data(), text.size(), digest.data(), &size, EVP_sha256(),
             nullptr);
  return ToHex(digest.data(), size);
}

std::string HmacSha256(std::string_view key, std::string_view text) {
  std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
  unsigned size = 0;
  HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()),
       reinterpret_cast<const unsigned char*>(text.data()), text.size(),
       digest.data(), &size);
  return {reinterpret_cast<const char*>(digest.data()), size};
}

std::string RandomHex(size_t count) {
  std::vector<unsigned char> bytes(count);
  if (RAND_bytes(bytes.data(), static_cast<int>(count)) != 1) {
    throw error("the system gave no random bytes", "start the process again");
  }
  return ToHex(bytes.data(), count);
}

}  // namespace skylarkcroft
