#ifndef SKYLARKCROFT_STANDINS_ENGINE_COMPLETION_TEXT_H_
#define SKYLARKCROFT_STANDINS_ENGINE_COMPLETION_TEXT_H_

#include <array>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "standins/engine/fnv1a.h"

namespace skylarkcroft::standin {

/// Identifies the answer to one prompt by one model; every engine computes the
/// same.
constexpr uint64_t CompletionSeed(std::string_view model,
                                  std::string_view prompt) {
  return Fnv1a(prompt, Fnv1a("\n", Fnv1a(model)));
}

/// Text of token `index`, from 1, of the answer with `seed`: a made-up word and
/// a space.
inline std::string TokenText(uint64_t seed, int64_t index) {
  constexpr std::array<std::string_view, 32> kSyllables = {
      "ba", "ce", "di", "fo", "gu", "ha", "je", "ki", "lo", "mu", "na",
      "pe", "qi", "ro", "su", "ta", "ve", "wi", "xo", "yu", "za", "be",
      "ci", "do", "fu", "ga", "he", "ji", "ko", "lu", "ma", "ne"};
  constexpr int kSyllableBits = 5;
  constexpr int kSyllablesPerWord = 3;
  constexpr uint64_t kGoldenRatio = 0x9e3779b97f4a7c15ULL;
  constexpr uint64_t kMixer = 0xbf58476d1ce4e5b9ULL;
  constexpr int kMixShift = 31;
  uint64_t bits = (seed + static_cast<uint64_t>(index) * kGoldenRatio);
  bits = (bits ^ (bits >> kMixShift)) * kMixer;
  bits ^= bits >> kMixShift;
  std::string word;
  for (int i = 0; i < kSyllablesPerWord; ++i) {
    word += kSyllables[bits % kSyllables.size()];
    bits >>= kSyllableBits;
  }
  return word + ' ';
}

/// Text of token `index`, from 1, of the answer of `model` to `prompt`. The
/// prompt of a chat is its messages' contents joined by a newline.
inline std::string TokenText(std::string_view model, std::string_view prompt,
                             int64_t index) {
  return TokenText(CompletionSeed(model, prompt), index);
}

/// Tokens in the answer: `max_tokens`, or fewer when a later token holds one of
/// `stops`. At least 1.
inline int64_t AnswerLength(uint64_t seed, int64_t max_tokens,
                            const std::vector<std::string>& stops) {
  if (stops.empty()) {
    return max_tokens;
  }
  for (int64_t index = 2; index <= max_tokens; ++index) {
    const std::string text = TokenText(seed, index);
    for (const std::string& stop : stops) {
      if (text.find(stop) != std::string::npos) {
        return index - 1;
      }
    }
  }
  return max_tokens;
}

/// Text of tokens `first` to `last`, both included.
inline std::string CompletionText(std::string_view model,
                                  std::string_view prompt, int64_t first,
                                  int64_t last) {
  const uint64_t seed = CompletionSeed(model, prompt);
  std::string text;
  for (int64_t index = first; index <= last; ++index) {
    text += TokenText(seed, index);
  }
  return text;
}

}  // namespace skylarkcroft::standin

#endif  // SKYLARKCROFT_STANDINS_ENGINE_COMPLETION_TEXT_H_
