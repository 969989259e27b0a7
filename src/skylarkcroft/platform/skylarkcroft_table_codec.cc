#include "skylarkcroft/platform/skylarkcroft_table_codec.h"

#include <charconv>
#include <nlohmann/json.hpp>

#include "skylarkcroft/internal/skylarkcroft_error.h"
#include "skylarkcroft/internal/skylarkcroft_json_reader.h"

namespace skylarkcroft {
namespace {

row_key ReadKey(const json_reader& item) {
  return {DecodeText(item.Member("pk"), item.PathOf("pk")),
          DecodeText(item.Member("sk"), item.PathOf("sk"))};
}

}  // namespace

nlohmann::json EncodeText(const std::string& text) { return {{"S", text}}; }

nlohmann::json EncodeNumber(int64_t number) {
  return {{"N", std::to_string(number)}};
}

std::string DecodeText(const nlohmann::json& value, const std::string& path) {
  return json_reader(value, path, {"S"}).String("S");
}

int64_t DecodeNumber(const nlohmann::json& value, const std::string& path) {
  const std::string digits = json_reader(value, path, {"N"}).String("N");
  int64_t number = 0;
  const char* end = digits.data() + digits.size();
  const auto [stop, status] = std::from_chars(digits.data(), end, number);
  if (status != std::errc() || stop != end) {
    throw config_error(path + ".N", "'" + digits + "' is not a whole number",
                       "write decimal digits of a 64-bit number");
  }
  return number;
}

nlohmann::json EncodeKey(const row_key& key) {
  return {{"pk", EncodeText(key.partition)}, {"sk", EncodeText(key.sort)}};
}

row_key DecodeKey(const nlohmann::json& item, const std::string& path) {
  return ReadKey(json_reader(item, path, {"pk", "sk"}));
}

nlohmann::json EncodeRow(const table_row& row) {
  nlohmann::json item = EncodeKey(row.key);
  item["ver"] = EncodeNumber(row.version);
  item["doc"] = EncodeText(row.document);
  return item;
}

table_row DecodeRow(const nlohmann::json& item, const std::string& path) {
  const json_reader reader(item, path, {"pk", "sk", "ver", "doc"});
  return {ReadKey(reader),
          DecodeNumber(reader.Member("ver"), reader.PathOf("ver")),
          DecodeText(reader.Member("doc"), reader.PathOf("doc"))};
}

}  // namespace skylarkcroft
