#include "skylarkcroft/routing/skylarkcroft_prompt_prefix.h"

#include <cctype>

namespace skylarkcroft {
namespace {

constexpr uint64_t kFnvBasis = 14695981039346656037ULL;
constexpr uint64_t kFnvPrime = 1099511628211ULL;

uint64_t AddToHash(uint64_t hash, char character) {
  return (hash ^ static_cast<unsigned char>(character)) * kFnvPrime;
}

bool IsSpace(char character) {
  return std::isspace(static_cast<unsigned char>(character)) != 0;
}

}  // namespace

prompt_prefix HashPrompt(std::string_view prompt) {
  prompt_prefix prefix;
  uint64_t hash = kFnvBasis;
  bool in_word = false;
  const auto end_word = [&] {
    ++prefix.tokens;
    if (prefix.tokens % kPrefixBlockTokens == 0) {
      prefix.block_hashes.push_back(hash);
    }
  };
  for (const char character : prompt) {
    if (IsSpace(character)) {
      if (in_word) {
        end_word();
      }
      in_word = false;
      continue;
    }
    if (!in_word && prefix.tokens > 0) {
      hash = AddToHash(hash, ' ');
    }
    hash = AddToHash(hash, character);
    in_word = true;
  }
  if (in_word) {
    end_word();
  }
  return prefix;
}

}  // namespace skylarkcroft
