#ifndef SKYLARKCROFT_FUZZ_FUZZ_INPUT_H_
#define SKYLARKCROFT_FUZZ_FUZZ_INPUT_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include "skylarkcroft/internal/skylarkcroft_error.h"

/// Entry point of a fuzz target, as libFuzzer calls it.
extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size);

namespace skylarkcroft::fuzz {

inline std::string_view TextOf(const uint8_t* data, size_t size) {
  return {reinterpret_cast<const char*>(data), size};
}

/// Runs `decode`, for which refusing with a typed error is a right answer; any
/// other exception ends the program.
template <typename decode_fn>
int Decode(const decode_fn& decode) {
  try {
    decode();
  } catch (const error&) {
    return 0;
  }
  return 0;
}

}  // namespace skylarkcroft::fuzz

#endif  // SKYLARKCROFT_FUZZ_FUZZ_INPUT_H_
