#ifndef SKYLARKCROFT_PLATFORM_SKYLARKCROFT_TABLE_CODEC_H_
#define SKYLARKCROFT_PLATFORM_SKYLARKCROFT_TABLE_CODEC_H_

#include <nlohmann/json_fwd.hpp>
#include <string>

#include "skylarkcroft/platform/skylarkcroft_table_service.h"

namespace skylarkcroft {

/// Name of the one table in the table service.
inline constexpr char kTableName[] = "skylarkcroft";

/// Prefix of the `X-Amz-Target` header before the operation's name.
inline constexpr char kTableTargetPrefix[] = "DynamoDB_20120810.";

/// Attribute values in the table service's JSON form: `{"S":text}` and
/// `{"N":"digits"}`.
nlohmann::json EncodeText(const std::string& text);
nlohmann::json EncodeNumber(int64_t number);
/// The decoders throw config_error with `path` on a value of another form.
std::string DecodeText(const nlohmann::json& value, const std::string& path);
int64_t DecodeNumber(const nlohmann::json& value, const std::string& path);

/// Attributes `pk` and `sk`.
nlohmann::json EncodeKey(const row_key& key);
row_key DecodeKey(const nlohmann::json& item, const std::string& path);

/// Attributes `pk`, `sk`, `ver` and `doc`.
nlohmann::json EncodeRow(const table_row& row);
table_row DecodeRow(const nlohmann::json& item, const std::string& path);

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_PLATFORM_SKYLARKCROFT_TABLE_CODEC_H_
