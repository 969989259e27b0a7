#include "skylarkcroft/cli/skylarkcroft_document_check.h"

#include <filesystem>
#include <nlohmann/json.hpp>
#include <utility>

#include "skylarkcroft/internal/skylarkcroft_error.h"
#include "skylarkcroft/internal/skylarkcroft_json_reader.h"
#include "skylarkcroft/node/skylarkcroft_settings.h"
#include "skylarkcroft/tables/skylarkcroft_table_set.h"

namespace skylarkcroft {
namespace {

// A table that is valid by itself, with the index of its report.
template <typename table>
struct parsed_table {
  size_t report;
  std::filesystem::path directory;
  table content;
};

struct parsed_tables {
  std::vector<parsed_table<routes_table>> routes;
  std::vector<parsed_table<pools_table>> pools;
};

document_kind KindOf(const nlohmann::json& document) {
  if (document.is_object() && document.contains("routes")) {
    return document_kind::kRoutes;
  }
  if (document.is_object() && document.contains("pools")) {
    return document_kind::kPools;
  }
  return document_kind::kSettings;
}

document_fault ToFault(const config_error& failure) {
  return {failure.path(), failure.reason(), failure.remedy()};
}

document_report CheckAlone(const document_file& file, size_t index,
                           parsed_tables& tables) {
  document_report report{file.name, std::nullopt, std::nullopt};
  const std::filesystem::path directory =
      std::filesystem::path(file.name).parent_path();
  try {
    const nlohmann::json document = ParseJson(file.text);
    report.kind = KindOf(document);
    switch (*report.kind) {
      case document_kind::kRoutes:
        tables.routes.push_back({index, directory, ParseRoutesTable(document)});
        break;
      case document_kind::kPools:
        tables.pools.push_back({index, directory, ParsePoolsTable(document)});
        break;
      case document_kind::kSettings:
        ParseSettings(document);
        break;
    }
  } catch (const config_error& failure) {
    report.fault = ToFault(failure);
  }
  return report;
}

std::optional<document_fault> CheckPair(const routes_table& routes,
                                        const pools_table& pools) {
  try {
    CheckPoolReferences(routes, pools);
  } catch (const config_error& failure) {
    return ToFault(failure);
  }
  return std::nullopt;
}

void CheckPairs(const parsed_tables& tables,
                std::vector<document_report>& reports) {
  for (const auto& routes : tables.routes) {
    for (const auto& pools : tables.pools) {
      document_report& report = reports[routes.report];
      if (report.fault.has_value() || routes.directory != pools.directory) {
        continue;
      }
      report.fault = CheckPair(routes.content, pools.content);
    }
  }
}

}  // namespace

std::string_view ToString(document_kind kind) {
  switch (kind) {
    case document_kind::kSettings:
      return "settings";
    case document_kind::kRoutes:
      return "routes";
    case document_kind::kPools:
      return "pools";
  }
  return "unknown";
}

std::vector<document_report> CheckDocuments(
    const std::vector<document_file>& files) {
  parsed_tables tables;
  std::vector<document_report> reports;
  reports.reserve(files.size());
  for (const document_file& file : files) {
    reports.push_back(CheckAlone(file, reports.size(), tables));
  }
  CheckPairs(tables, reports);
  return reports;
}

}  // namespace skylarkcroft
