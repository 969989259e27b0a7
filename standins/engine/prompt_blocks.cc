#include "standins/engine/prompt_blocks.h"

#include <array>
#include <cinttypes>
#include <cstdio>

#include "standins/engine/fnv1a.h"

namespace skylarkcroft::standin {

prompt_blocks SplitPrompt(std::string_view prompt) {
  constexpr std::string_view kWhitespace = " \t\n\r\f\v";
  prompt_blocks blocks;
  uint64_t hash = kFnvBasis;
  size_t begin = prompt.find_first_not_of(kWhitespace);
  while (begin != std::string_view::npos) {
    const size_t end = prompt.find_first_of(kWhitespace, begin);
    if (blocks.tokens > 0) {
      hash = Fnv1a(" ", hash);
    }
    hash = Fnv1a(prompt.substr(begin, end - begin), hash);
    ++blocks.tokens;
    if (blocks.tokens % kBlockTokens == 0) {
      blocks.prefix_hashes.push_back(hash);
    }
    begin = prompt.find_first_not_of(kWhitespace, end);
  }
  return blocks;
}

std::string HashText(uint64_t hash) {
  std::array<char, 17> text{};
  std::snprintf(text.data(), text.size(), "%016" PRIx64, hash);
  return text.data();
}

}  // namespace skylarkcroft::standin
