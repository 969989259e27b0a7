#include "fuzz/fuzz_input.h"
#include "skylarkcroft/claims/skylarkcroft_claim_record.h"

namespace skylarkcroft {

extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size) {
  const std::string_view text = fuzz::TextOf(data, size);
  return fuzz::Decode([&] {
    const std::optional<claim_record> record = DecodeClaim(std::string(text));
    if (record && DecodeClaim(EncodeClaim(*record)) != record) {
      __builtin_trap();
    }
  });
}

}  // namespace skylarkcroft
