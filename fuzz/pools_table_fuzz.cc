#include <nlohmann/json.hpp>

#include "fuzz/fuzz_input.h"
#include "skylarkcroft/internal/skylarkcroft_json_reader.h"
#include "skylarkcroft/tables/skylarkcroft_pools_table.h"

namespace skylarkcroft {

extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size) {
  const std::string_view text = fuzz::TextOf(data, size);
  return fuzz::Decode(
      [&] { static_cast<void>(ParsePoolsTable(ParseJson(text))); });
}

}  // namespace skylarkcroft
