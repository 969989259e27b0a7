#include "skylarkcroft/handover/skylarkcroft_handover_record.h"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "skylarkcroft/internal/skylarkcroft_bounded_json.h"

namespace skylarkcroft {
namespace {

nlohmann::json Encode(const handover_record& record) {
  return {{"id", record.id},
          {"caller", record.caller_name},
          {"route", record.route_name},
          {"method", record.original.method},
          {"target", record.original.target},
          {"body", record.original.body},
          {"tokens", record.tokens},
          {"usage", record.usage},
          {"deadline_left_ms", record.deadline_left_ms}};
}

handover_record Decode(const nlohmann::json& document) {
  handover_record record;
  record.id = document.at("id").get<std::string>();
  record.caller_name = document.at("caller").get<std::string>();
  record.route_name = document.at("route").get<std::string>();
  record.original.method = document.at("method").get<std::string>();
  record.original.target = document.at("target").get<std::string>();
  record.original.body = document.at("body").get<std::string>();
  record.tokens = document.at("tokens").get<std::vector<std::string>>();
  record.usage = document.at("usage").get<std::string>();
  record.deadline_left_ms = document.at("deadline_left_ms").get<int64_t>();
  return record;
}

}  // namespace

std::string EncodeHandover(const std::vector<handover_record>& records) {
  nlohmann::json document = nlohmann::json::array();
  for (const handover_record& record : records) {
    document.push_back(Encode(record));
  }
  return document.dump(-1, ' ', false,
                       nlohmann::json::error_handler_t::replace);
}

std::optional<std::vector<handover_record>> DecodeHandover(
    const std::string& body) {
  const nlohmann::json document = ParseBoundedJson(body);
  if (!document.is_array()) {
    return std::nullopt;
  }
  try {
    std::vector<handover_record> records;
    for (const nlohmann::json& element : document) {
      records.push_back(Decode(element));
    }
    return records;
  } catch (const nlohmann::json::exception&) {
    return std::nullopt;
  }
}

std::string EncodeAdopted(const std::vector<std::string>& ids) {
  return nlohmann::json({{"taken", ids.size()}, {"ids", ids}}).dump();
}

std::vector<std::string> DecodeAdopted(
    const std::string& body, const std::vector<std::string>& offered) {
  const nlohmann::json document = ParseBoundedJson(body);
  if (!document.is_object()) {
    return {};
  }
  const auto ids = document.find("ids");
  if (ids == document.end()) {
    // Nodes of earlier versions count without names.
    const bool all =
        document.contains("taken") && document.at("taken") == offered.size();
    return all ? offered : std::vector<std::string>();
  }
  std::vector<std::string> adopted;
  std::copy_if(offered.begin(), offered.end(), std::back_inserter(adopted),
               [&](const std::string& id) {
                 return std::find(ids->begin(), ids->end(), id) != ids->end();
               });
  return adopted;
}

std::string OwnerOf(const std::string& request_id) {
  const size_t last = request_id.rfind('.');
  if (last == std::string::npos) {
    return {};
  }
  const std::string owner = request_id.substr(0, last);
  return owner.find('.') == std::string::npos ? std::string() : owner;
}

std::string NodeNameOf(const std::string& owner) {
  return owner.substr(0, owner.find('.'));
}

}  // namespace skylarkcroft
