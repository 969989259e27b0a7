#ifndef SKYLARKCROFT_INTERNAL_SKYLARKCROFT_DIGEST_H_
#define SKYLARKCROFT_INTERNAL_SKYLARKCROFT_DIGEST_H_

#include <string>
#include <string_view>

namespace skylarkcroft {

/// SHA-256 of `text` as 64 lower-case hexadecimal digits.
std::string Sha256Hex(std::string_view text);

/// HMAC-SHA-256 of `text` under `key`, 32 raw bytes.
std::string HmacSha256(std::string_view key, std::string_view text);

/// `count` random bytes from the system, in hexadecimal.
std::string RandomHex(size_t count);

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_INTERNAL_SKYLARKCROFT_DIGEST_H_
