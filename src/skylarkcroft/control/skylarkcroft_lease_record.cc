#include "skylarkcroft/control/skylarkcroft_lease_record.h"

#include <nlohmann/json.hpp>

#include "skylarkcroft/internal/skylarkcroft_bounded_json.h"

namespace skylarkcroft {
namespace {

constexpr const char* kLeasesPartition = "leases";

}  // namespace

row_key LeaseKey(const std::string& pool_name) {
  return {kLeasesPartition, pool_name};
}

std::string EncodeLease(const lease_record& record) {
  const nlohmann::json document = {{"holder", record.holder.name},
                                   {"incarnation", record.holder.incarnation},
                                   {"fence", record.fence},
                                   {"lease_time_ms", record.lease_time_ms},
                                   {"released", record.released}};
  return document.dump(-1, ' ', false,
                       nlohmann::json::error_handler_t::replace);
}

std::optional<lease_record> DecodeLease(const std::string& document) {
  const nlohmann::json parsed = ParseBoundedJson(document);
  try {
    lease_record record;
    record.holder.name = parsed.at("holder").get<std::string>();
    record.holder.incarnation = parsed.at("incarnation").get<std::string>();
    record.fence = parsed.at("fence").get<int64_t>();
    record.lease_time_ms = parsed.at("lease_time_ms").get<int64_t>();
    record.released = parsed.at("released").get<bool>();
    return record;
  } catch (const nlohmann::json::exception&) {
    return std::nullopt;
  }
}

}  // namespace skylarkcroft
