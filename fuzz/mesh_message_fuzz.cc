#include "fuzz/fuzz_input.h"
#include "skylarkcroft/mesh/skylarkcroft_mesh_message.h"

namespace skylarkcroft {

extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size) {
  const std::string_view text = fuzz::TextOf(data, size);
  return fuzz::Decode([&] {
    static_cast<void>(DecodeMeshMessage(text, ""));
    static_cast<void>(DecodeMeshMessage(text, "key"));
  });
}

}  // namespace skylarkcroft
