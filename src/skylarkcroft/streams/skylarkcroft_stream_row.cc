#include "skylarkcroft/streams/skylarkcroft_stream_row.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cstdio>
#include <nlohmann/json.hpp>
#include <utility>

#include "skylarkcroft/internal/skylarkcroft_bounded_json.h"
#include "skylarkcroft/streams/skylarkcroft_version_ledger.h"

namespace skylarkcroft {
namespace {

using nlohmann::json;

constexpr const char* kNodePrefix = "node/";
// Tells notices from other datagrams between nodes.
constexpr const char* kNoticeName = "streams1";
constexpr size_t kKeyDigits = 16;
constexpr int kHex = 16;

std::string EncodeKeys(const std::vector<stream_key>& keys) {
  std::string text;
  text.reserve(keys.size() * kKeyDigits);
  for (const stream_key key : keys) {
    std::array<char, kKeyDigits + 1> digits{};
    std::snprintf(digits.data(), digits.size(), "%016llx",
                  static_cast<unsigned long long>(key));
    text.append(digits.data(), kKeyDigits);
  }
  return text;
}

// Ends before the first key that cannot be read.
std::vector<stream_key> DecodeKeys(const std::string& text) {
  std::vector<stream_key> keys;
  for (size_t at = 0; at + kKeyDigits <= text.size(); at += kKeyDigits) {
    const char* first = text.data() + at;
    stream_key key = 0;
    const auto parsed = std::from_chars(first, first + kKeyDigits, key, kHex);
    const bool is_whole =
        parsed.ec == std::errc() && parsed.ptr == first + kKeyDigits;
    if (!is_whole) {
      break;
    }
    keys.push_back(key);
  }
  return keys;
}

json EncodeOrigins(const streams_by_origin& streams) {
  json origins = json::array();
  for (const auto& [origin, keys] : streams) {
    origins.push_back({{"service", origin.service},
                       {"version", origin.version},
                       {"streams", EncodeKeys(keys)}});
  }
  return origins;
}

// Throws json::exception for anything else.
streams_by_origin DecodeOrigins(const json& origins) {
  streams_by_origin streams;
  for (const json& item : origins) {
    const stream_origin origin{item.at("service").get<std::string>(),
                               item.at("version").get<std::string>()};
    streams[origin] = DecodeKeys(item.at("streams").get<std::string>());
  }
  return streams;
}

milliseconds DecodeLife(const json& life) {
  return std::clamp(milliseconds(life.get<int64_t>()), milliseconds(0),
                    kMaxStreamLife);
}

}  // namespace

std::string EncodeStreamRow(const stream_row& row) {
  return json({{"written_at_ms", row.written_at.count()},
               {"life_ms", row.list.life.count()},
               {"origins", EncodeOrigins(row.list.streams)}})
      .dump(-1, ' ', false, json::error_handler_t::replace);
}

std::optional<stream_row> DecodeStreamRow(const std::string& value) {
  const json document = ParseBoundedJson(value);
  try {
    return stream_row{milliseconds(document.at("written_at_ms").get<int64_t>()),
                      {DecodeOrigins(document.at("origins")),
                       DecodeLife(document.at("life_ms"))}};
  } catch (const json::exception&) {
    // Its streams count as unknown.
    return std::nullopt;
  }
}

std::string EncodeStreamNotice(const stream_notice& notice) {
  const std::vector<uint8_t> bytes = json::to_cbor(json::array(
      {kNoticeName, notice.sender, notice.sequence, notice.list.life.count(),
       EncodeOrigins(notice.list.streams)}));
  return {bytes.begin(), bytes.end()};
}

std::optional<stream_notice> DecodeStreamNotice(std::string_view bytes) {
  const json items = DecodeBoundedCbor(bytes);
  if (!items.is_array() || items.empty() || items.front() != kNoticeName) {
    return std::nullopt;
  }
  try {
    return stream_notice{items.at(1).get<std::string>(),
                         items.at(2).get<int64_t>(),
                         {DecodeOrigins(items.at(4)), DecodeLife(items.at(3))}};
  } catch (const json::exception&) {
    // Not written by this program.
    return std::nullopt;
  }
}

std::string StreamRowKey(const std::string& node) { return kNodePrefix + node; }

bool IsStreamRowKey(const std::string& key) {
  return key.starts_with(kNodePrefix);
}

}  // namespace skylarkcroft
