#include <nlohmann/json.hpp>

#include "fuzz/fuzz_input.h"
#include "skylarkcroft/internal/skylarkcroft_json_reader.h"
#include "skylarkcroft/tables/skylarkcroft_pools_table.h"

int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size) {
  using namespace skylarkcroft;
  const std::string_view text = fuzz::TextOf(data, size);
  return fuzz::Decode(
      [&] { static_cast<void>(ParsePoolsTable(ParseJson(text))); });
}
