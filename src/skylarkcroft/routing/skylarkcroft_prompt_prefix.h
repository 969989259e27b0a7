#ifndef SKYLARKCROFT_ROUTING_SKYLARKCROFT_PROMPT_PREFIX_H_
#define SKYLARKCROFT_ROUTING_SKYLARKCROFT_PROMPT_PREFIX_H_

#include <cstdint>
#include <string_view>
#include <vector>

namespace skylarkcroft {

/// Tokens in one block of an engine's prefix cache (docs/upstream-protocol.md).
inline constexpr int64_t kPrefixBlockTokens = 16;

/// A prompt as the blocks by which an engine's prefix cache identifies it.
struct prompt_prefix {
  int64_t tokens = 0;
  /// Element k is the hash of the first 16 * (k + 1) tokens; whole blocks only.
  std::vector<uint64_t> block_hashes;

  bool operator==(const prompt_prefix&) const = default;
};

/// Splits `prompt` into tokens at whitespace and hashes it with 64-bit FNV-1a,
/// as the upstream protocol specifies.
prompt_prefix HashPrompt(std::string_view prompt);

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_ROUTING_SKYLARKCROFT_PROMPT_PREFIX_H_
