#include "fuzz/fuzz_input.h"
#include "skylarkcroft/attempt/skylarkcroft_completion_request.h"

namespace skylarkcroft {

extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size) {
  const std::string_view text = fuzz::TextOf(data, size);
  return fuzz::Decode([&] {
    const std::string body(text);
    static_cast<void>(
        ParseCompletionRequest("/v1/chat/completions", body, rank::kNormal));
  });
}

}  // namespace skylarkcroft
