#include "skylarkcroft/claims/skylarkcroft_claim_record.h"

#include <array>
#include <nlohmann/json.hpp>
#include <string_view>

#include "skylarkcroft/internal/skylarkcroft_bounded_json.h"
#include "skylarkcroft/internal/skylarkcroft_digest.h"

namespace skylarkcroft {
namespace {

constexpr const char* kClaimsPartition = "claims";
// The table service limits a row to 400 KB; JSON escaping can double a body.
constexpr size_t kMaxStoredBodyBytes = 128 * 1024;
constexpr std::array<const char*, 5> kStateNames = {"claimed", "sent", "done",
                                                    "unknown", "released"};

std::optional<claim_state> ParseState(const std::string& name) {
  for (size_t index = 0; index < kStateNames.size(); ++index) {
    if (name == kStateNames[index]) {
      return static_cast<claim_state>(index);
    }
  }
  return std::nullopt;
}

nlohmann::json EncodeResponse(const http_response& response) {
  nlohmann::json headers = nlohmann::json::array();
  for (const header_view field : response.headers.fields()) {
    headers.push_back({field.name, field.value});
  }
  // A body need not be UTF-8, but a JSON string must be: each byte is encoded
  // as the Latin-1 character with that code.
  std::string body;
  for (const char byte : response.body) {
    const auto code = static_cast<unsigned char>(byte);
    constexpr unsigned char kFirstTwoByteCode = 0x80;
    constexpr unsigned kSixBits = 6;
    constexpr unsigned char kLead = 0xc0;
    constexpr unsigned char kTail = 0x80;
    constexpr unsigned char kTailMask = 0x3f;
    if (code < kFirstTwoByteCode) {
      body += byte;
      continue;
    }
    body += static_cast<char>(kLead | (code >> kSixBits));
    body += static_cast<char>(kTail | (code & kTailMask));
  }
  return {{"status", response.status}, {"headers", headers}, {"body", body}};
}

std::string DecodeBody(const std::string& utf8) {
  std::string body;
  for (size_t index = 0; index < utf8.size(); ++index) {
    const auto lead = static_cast<unsigned char>(utf8[index]);
    constexpr unsigned char kFirstTwoByteCode = 0x80;
    constexpr unsigned kSixBits = 6;
    constexpr unsigned char kLeadMask = 0x03;
    constexpr unsigned char kTailMask = 0x3f;
    if (lead < kFirstTwoByteCode || index + 1 >= utf8.size()) {
      body += utf8[index];
      continue;
    }
    const auto tail = static_cast<unsigned char>(utf8[++index]);
    body += static_cast<char>(((lead & kLeadMask) << kSixBits) |
                              (tail & kTailMask));
  }
  return body;
}

http_response DecodeResponse(const nlohmann::json& document) {
  http_response response;
  response.status = document.at("status").get<int>();
  for (const nlohmann::json& field : document.at("headers")) {
    response.headers.Add(field.at(0).get<std::string>(),
                         field.at(1).get<std::string>());
  }
  response.body = DecodeBody(document.at("body").get<std::string>());
  return response;
}

}  // namespace

row_key ClaimKey(const std::string& caller_name,
                 const std::string& idempotency_key) {
  return {kClaimsPartition, caller_name + "/" + Sha256Hex(idempotency_key)};
}

std::string EncodeClaim(const claim_record& record) {
  nlohmann::json document = {
      {"state", kStateNames[static_cast<size_t>(record.state)]},
      {"number", record.number},
      {"request_id", record.request_id},
      {"fingerprint", record.fingerprint},
      {"upstream", record.upstream},
      {"expires_at_ms", record.expires_at_ms},
      {"deadline_ms", record.deadline_ms}};
  if (record.response && record.response->body.size() <= kMaxStoredBodyBytes) {
    document["response"] = EncodeResponse(*record.response);
  }
  return document.dump(-1, ' ', false,
                       nlohmann::json::error_handler_t::replace);
}

std::optional<claim_record> DecodeClaim(const std::string& text) {
  const nlohmann::json document = ParseBoundedJson(text);
  try {
    const std::optional<claim_state> state =
        ParseState(document.at("state").get<std::string>());
    if (!state) {
      return std::nullopt;
    }
    claim_record record;
    record.state = *state;
    record.number = document.at("number").get<int64_t>();
    record.request_id = document.at("request_id").get<std::string>();
    record.fingerprint = document.at("fingerprint").get<std::string>();
    record.upstream = document.at("upstream").get<std::string>();
    record.expires_at_ms = document.at("expires_at_ms").get<int64_t>();
    record.deadline_ms = document.at("deadline_ms").get<int64_t>();
    if (document.contains("response")) {
      record.response = DecodeResponse(document.at("response"));
    }
    return record;
  } catch (const nlohmann::json::exception&) {
    return std::nullopt;
  }
}

std::string FingerprintOf(const http_request& request) {
  return Sha256Hex(request.method + " " + request.target + "\n" + request.body);
}

}  // namespace skylarkcroft
