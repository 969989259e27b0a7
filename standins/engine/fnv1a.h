#ifndef SKYLARKCROFT_STANDINS_ENGINE_FNV1A_H_
#define SKYLARKCROFT_STANDINS_ENGINE_FNV1A_H_

#include <cstdint>
#include <string_view>

namespace skylarkcroft::standin {

/// Offset basis of the 64-bit FNV-1a hash: the hash of an empty text.
constexpr uint64_t kFnvBasis = 14695981039346656037ULL;

/// 64-bit FNV-1a hash of `text`, continued from `hash`.
constexpr uint64_t Fnv1a(std::string_view text, uint64_t hash = kFnvBasis) {
  constexpr uint64_t kFnvPrime = 1099511628211ULL;
  for (const char letter : text) {
    hash = (hash ^ static_cast<unsigned char>(letter)) * kFnvPrime;
  }
  return hash;
}

}  // namespace skylarkcroft::standin

#endif  // SKYLARKCROFT_STANDINS_ENGINE_FNV1A_H_
