#include "fuzz/fuzz_input.h"
#include "skylarkcroft/mesh/skylarkcroft_mesh_message.h"

int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size) {
  using namespace skylarkcroft;
  const std::string_view text = fuzz::TextOf(data, size);
  return fuzz::Decode([&] {
    static_cast<void>(DecodeMeshMessage(text, ""));
    static_cast<void>(DecodeMeshMessage(text, "key"));
  });
}
