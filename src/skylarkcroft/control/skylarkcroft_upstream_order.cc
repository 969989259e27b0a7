#include "skylarkcroft/control/skylarkcroft_upstream_order.h"

#include <nlohmann/json.hpp>

#include "skylarkcroft/internal/skylarkcroft_bounded_json.h"

namespace skylarkcroft {

bool SameWeights(const engine_state& left, const engine_state& right) {
  return left.model == right.model && left.version == right.version &&
         left.adapters == right.adapters;
}

std::string EncodeOrder(const upstream_order& order) {
  const nlohmann::json desired = {{"model", order.desired.model},
                                  {"version", order.desired.version},
                                  {"adapters", order.desired.adapters},
                                  {"role", order.desired.role},
                                  {"draining", order.desired.draining}};
  const nlohmann::json document = {{"fence", order.fence},
                                   {"issuer", order.issuer},
                                   {"number", order.number},
                                   {"desired", desired}};
  return document.dump(-1, ' ', false,
                       nlohmann::json::error_handler_t::replace);
}

std::optional<order_report> ParseOrderReport(std::string_view body) {
  const nlohmann::json document = ParseBoundedJson(body);
  try {
    order_report report;
    report.fence = document.at("fence").get<int64_t>();
    report.issuer = document.at("issuer").get<std::string>();
    report.number = document.at("number").get<int64_t>();
    report.loading = document.at("loading").get<bool>();
    const nlohmann::json& actual = document.at("actual");
    report.actual.model = actual.at("model").get<std::string>();
    report.actual.version = actual.at("version").get<std::string>();
    report.actual.adapters =
        actual.at("adapters").get<std::vector<std::string>>();
    report.actual.role = actual.at("role").get<std::string>();
    report.actual.draining = actual.at("draining").get<bool>();
    return report;
  } catch (const nlohmann::json::exception&) {
    return std::nullopt;
  }
}

}  // namespace skylarkcroft
