#include "skylarkcroft/routing/skylarkcroft_prompt_prefix.h"

#include <cctype>

namespace skylarkcroft {
namespace {

constexpr uint64_t kFnvBasis = 14695981039346656037ULL;
constexpr uint64_t kFnvPrime = 1099511628211ULL;

uint64_t Extend(uint64_t hash, char letter) {
  return (hash ^ static_cast<unsigned char>(letter)) * kFnvPrime;
}

bool IsSpace(char letter) {
  return std::isspace(static_cast<unsigned char>(letter)) != 0;
}

}  // namespace

prompt_prefix HashPrompt(std::string_view prompt) {
  prompt_prefix prefix;
  uint64_t hash = kFnvBasis;
  bool inside = false;
  const auto end_word = [&] {
    ++prefix.tokens;
    if (prefix.tokens % kPrefixBlockTokens == 0) {
      prefix.block_hashes.push_back(hash);
    }
  };
  for (const char letter : prompt) {
    if (IsSpace(letter)) {
      if (inside) {
        end_word();
      }
      inside = false;
      continue;
    }
    if (!inside && prefix.tokens > 0) {
      hash = Extend(hash, ' ');
    }
    hash = Extend(hash, letter);
    inside = true;
  }
  if (inside) {
    end_word();
  }
  return prefix;
}

}  // namespace skylarkcroft
