#ifndef SKYLARKCROFT_STANDINS_ENGINE_PROMPT_BLOCKS_H_
#define SKYLARKCROFT_STANDINS_ENGINE_PROMPT_BLOCKS_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace skylarkcroft::standin {

/// Tokens in one block of the prefix cache.
constexpr int64_t kBlockTokens = 16;

/// A prompt as the prefix cache sees it.
struct prompt_blocks {
  int64_t tokens = 0;
  /// Hash of the first 16·(k+1) tokens, for each whole block k.
  std::vector<uint64_t> prefix_hashes;

  bool operator==(const prompt_blocks&) const = default;
};

/// Splits `prompt` at whitespace; hashes as docs/upstream-protocol.md states.
prompt_blocks SplitPrompt(std::string_view prompt);

/// `hash` as 16 lower-case hexadecimal digits.
std::string HashText(uint64_t hash);

}  // namespace skylarkcroft::standin

#endif  // SKYLARKCROFT_STANDINS_ENGINE_PROMPT_BLOCKS_H_
