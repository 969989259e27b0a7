#include "fuzz/fuzz_input.h"
#include "skylarkcroft/attempt/skylarkcroft_completion_request.h"

int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size) {
  using namespace skylarkcroft;
  const std::string_view text = fuzz::TextOf(data, size);
  return fuzz::Decode([&] {
    const std::string body(text);
    static_cast<void>(
        ParseCompletionRequest("/v1/completions", body, rank::kNormal));
  });
}
