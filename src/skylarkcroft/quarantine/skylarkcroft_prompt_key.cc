#include "skylarkcroft/quarantine/skylarkcroft_prompt_key.h"

#include <xxhash.h>

#include <algorithm>
#include <array>
#include <cinttypes>
#include <cstdio>

namespace skylarkcroft {

prompt_key MakePromptKey(std::string_view service,
                         const generation_shape& shape) {
  prompt_key key;
  if (shape.parts.empty()) {
    return key;
  }
  const uint64_t seed = XXH3_64bits(service.data(), service.size());
  const auto key_of = [seed](const prompt_part& part) {
    return XXH3_64bits_withSeed(part.id.data(), part.id.size(), seed);
  };
  key.request = key_of(shape.parts.back());
  const size_t shared = std::min(shape.parts.size() - 1, kMaxSharedParts);
  for (size_t i = 0; i < shared; ++i) {
    key.shared.push_back(key_of(shape.parts[i]));
  }
  return key;
}

prompt_key MakePromptKey(std::string_view service,
                         const prompt_prefix& prefix) {
  prompt_key key;
  if (prefix.block_hashes.empty()) {
    return key;
  }
  const uint64_t seed = XXH3_64bits(service.data(), service.size());
  const auto key_of = [seed](uint64_t hash) {
    return XXH3_64bits_withSeed(&hash, sizeof hash, seed);
  };
  key.request = key_of(prefix.block_hashes.back());
  for (size_t blocks = 1; blocks < prefix.block_hashes.size() &&
                          key.shared.size() < kMaxSharedParts;
       blocks *= 2) {
    key.shared.push_back(key_of(prefix.block_hashes[blocks - 1]));
  }
  return key;
}

std::string ToString(const std::vector<part_key>& parts) {
  constexpr size_t kMaxTextBytes = 20;
  std::string text;
  for (const part_key part : parts) {
    std::array<char, kMaxTextBytes> digits{};
    std::snprintf(digits.data(), digits.size(), "%016" PRIx64, part);
    text.append(text.empty() ? "" : ",").append(digits.data());
  }
  return text;
}

}  // namespace skylarkcroft
