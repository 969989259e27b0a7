#include <nlohmann/json.hpp>

#include "fuzz/fuzz_input.h"
#include "skylarkcroft/internal/skylarkcroft_json_reader.h"
#include "skylarkcroft/platform/skylarkcroft_cloud_codec.h"
#include "skylarkcroft/platform/skylarkcroft_host_list_codec.h"
#include "skylarkcroft/platform/skylarkcroft_table_codec.h"

namespace skylarkcroft {

extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size) {
  const std::string_view text = fuzz::TextOf(data, size);
  return fuzz::Decode([&] {
    const nlohmann::json document = ParseJson(text);
    const json_reader reader(document, "$");
    // Each decoder alone, since each refuses what is not its own.
    fuzz::Decode([&] { static_cast<void>(DecodeListedHosts(reader)); });
    fuzz::Decode([&] { static_cast<void>(DecodePrices(reader)); });
    fuzz::Decode([&] { static_cast<void>(DecodeCloudHosts(reader)); });
    fuzz::Decode([&] { static_cast<void>(DecodeNotices(reader)); });
    fuzz::Decode([&] { static_cast<void>(DecodeRow(document, "$")); });
  });
}

}  // namespace skylarkcroft
