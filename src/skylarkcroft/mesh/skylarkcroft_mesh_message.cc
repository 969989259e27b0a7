#include "skylarkcroft/mesh/skylarkcroft_mesh_message.h"

#include <array>
#include <nlohmann/json.hpp>

#include "skylarkcroft/internal/skylarkcroft_bounded_json.h"
#include "skylarkcroft/internal/skylarkcroft_digest.h"

namespace skylarkcroft {
namespace {

using json = nlohmann::json;

constexpr std::string_view kMagic = "SKCM";
constexpr char kFormatVersion = 1;
constexpr size_t kMacBytes = 32;
constexpr size_t kPrefixBytes = kMagic.size() + 1;
constexpr size_t kHeaderBytes = kPrefixBytes + kMacBytes;

json Binary(std::string_view bytes) {
  return json::binary(std::vector<uint8_t>(bytes.begin(), bytes.end()));
}

json EncodeRecords(const std::vector<mesh_record>& records) {
  json list = json::array();
  for (const mesh_record& record : records) {
    list.push_back({record.publisher, record.topic, record.incarnation,
                    record.version, Binary(record.payload)});
  }
  return list;
}

// Omits fields that have their default value. The decoder uses the default for
// a missing field, so that messages of older senders can be read.
json EncodeBody(const mesh_message& message) {
  json body = {{"k", static_cast<int>(message.kind)},
               {"s", message.sender},
               {"i", message.incarnation},
               {"q", message.sequence},
               {"t", message.sent_at_ms},
               {"d", message.addressee},
               {"v", message.revision}};
  if (message.reply_to != 0) {
    body["a"] = message.reply_to;
  }
  if (message.known_incarnation != 0) {
    body["n"] = message.known_incarnation;
  }
  if (message.suspected_version != 0) {
    body["x"] = message.suspected_version;
  }
  if (!message.digest.empty()) {
    body["g"] = Binary(message.digest);
  }
  if (!message.requested_publishers.empty()) {
    body["w"] = message.requested_publishers;
  }
  if (!message.records.empty()) {
    body["r"] = EncodeRecords(message.records);
  }
  if (message.kind == mesh_message_kind::kDirect) {
    body["o"] = message.topic;
    body["p"] = Binary(message.payload);
  }
  return body;
}

std::string BytesOf(const json& value) {
  const json::binary_t& bytes = value.get_binary();
  return {bytes.begin(), bytes.end()};
}

// Throws json::exception when a field is missing or has the wrong type.
mesh_record DecodeRecord(const json& fields) {
  mesh_record record;
  record.publisher = fields.at(0).get<std::string>();
  record.topic = fields.at(1).get<std::string>();
  record.incarnation = fields.at(2).get<int64_t>();
  record.version = fields.at(3).get<int64_t>();
  record.payload = BytesOf(fields.at(4));
  return record;
}

// Empty for a kind that this version does not know.
std::optional<mesh_message_kind> KindOf(int number) {
  switch (static_cast<mesh_message_kind>(number)) {
    case mesh_message_kind::kExchange:
    case mesh_message_kind::kReply:
    case mesh_message_kind::kUpdate:
    case mesh_message_kind::kDirect:
      return static_cast<mesh_message_kind>(number);
  }
  return std::nullopt;
}

// Throws json::exception when a field is missing or has the wrong type. Empty
// for a message of unknown kind.
std::optional<mesh_message> DecodeBody(const json& body) {
  const std::optional<mesh_message_kind> kind = KindOf(body.at("k").get<int>());
  if (!kind.has_value()) {
    return std::nullopt;
  }
  mesh_message message;
  message.kind = *kind;
  message.sender = body.at("s").get<std::string>();
  message.incarnation = body.at("i").get<int64_t>();
  message.sequence = body.at("q").get<uint64_t>();
  message.sent_at_ms = body.at("t").get<int64_t>();
  message.addressee = body.at("d").get<std::string>();
  message.revision = body.value("v", int64_t{0});
  message.reply_to = body.value("a", uint64_t{0});
  message.known_incarnation = body.value("n", int64_t{0});
  message.suspected_version = body.value("x", int64_t{0});
  if (body.contains("g")) {
    message.digest = BytesOf(body.at("g"));
  }
  if (body.contains("w")) {
    message.requested_publishers = body.at("w").get<std::vector<uint32_t>>();
  }
  for (const json& fields : body.value("r", json::array())) {
    message.records.push_back(DecodeRecord(fields));
  }
  if (message.kind == mesh_message_kind::kDirect) {
    message.topic = body.at("o").get<std::string>();
    message.payload = BytesOf(body.at("p"));
  }
  return message;
}

// Compares in constant time, so that the duration does not reveal the position
// of the first difference.
bool SameBytes(std::string_view left, std::string_view right) {
  unsigned difference = left.size() == right.size() ? 0 : 1;
  for (size_t index = 0; index < left.size() && index < right.size(); ++index) {
    difference |= static_cast<unsigned char>(left[index]) ^
                  static_cast<unsigned char>(right[index]);
  }
  return difference == 0;
}

std::string MacOf(std::string_view prefix, std::string_view body,
                  std::string_view key) {
  return HmacSha256(key, std::string(prefix) + std::string(body));
}

}  // namespace

std::string_view ToString(mesh_drop reason) {
  constexpr std::array<std::string_view, kMeshDropCount> kNames = {
      "truncated",    "wrong_version", "not_authentic", "malformed",
      "misaddressed", "out_of_date",   "replayed",      "old_incarnation"};
  return kNames[static_cast<size_t>(reason)];
}

std::string EncodeMeshMessage(const mesh_message& message,
                              std::string_view key) {
  std::string body;
  json::to_msgpack(EncodeBody(message), body);
  std::string bytes(kMagic);
  bytes += kFormatVersion;
  const std::string mac = MacOf(bytes, body, key);
  return bytes + mac + body;
}

mesh_decode_result DecodeMeshMessage(std::string_view bytes,
                                     std::string_view key) {
  if (bytes.size() <= kHeaderBytes) {
    return {std::nullopt, mesh_drop::kTruncated};
  }
  const std::string_view prefix = bytes.substr(0, kPrefixBytes);
  if (!prefix.starts_with(kMagic) || prefix.back() != kFormatVersion) {
    return {std::nullopt, mesh_drop::kWrongVersion};
  }
  const std::string_view body = bytes.substr(kHeaderBytes);
  if (!SameBytes(bytes.substr(kPrefixBytes, kMacBytes),
                 MacOf(prefix, body, key))) {
    return {std::nullopt, mesh_drop::kNotAuthentic};
  }
  try {
    return {DecodeBody(DecodeBoundedMessagePack(body)), mesh_drop::kMalformed};
  } catch (const json::exception&) {
    return {std::nullopt, mesh_drop::kMalformed};
  }
}

}  // namespace skylarkcroft
