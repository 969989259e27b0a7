#include "skylarkcroft/tables/skylarkcroft_table_set.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "skylarkcroft/internal/skylarkcroft_error.h"
#include "skylarkcroft/internal/skylarkcroft_json_reader.h"

namespace skylarkcroft {

void CheckPoolReferences(const routes_table& routes, const pools_table& pools) {
  size_t index = 0;
  for (const route& entry : routes.routes()) {
    const std::string path = "$.routes[" + std::to_string(index++) + "].pool";
    if (pools.Find(entry.pool) != nullptr) {
      continue;
    }
    throw config_error(path, "pool '" + entry.pool + "' does not exist",
                       "add the pool to the pools table first, or correct the "
                       "name");
  }
}

table_set_ptr MakeTableSet(const table_documents& documents) {
  auto tables = std::make_shared<table_set>();
  tables->revision = documents.revision;
  tables->routes_revision = documents.routes_revision;
  tables->pools_revision = documents.pools_revision;
  tables->routes = ParseRoutesTable(ParseJson(documents.routes));
  tables->pools = ParsePoolsTable(ParseJson(documents.pools));
  CheckPoolReferences(tables->routes, tables->pools);
  tables->routes_document = documents.routes;
  tables->pools_document = documents.pools;
  return tables;
}

}  // namespace skylarkcroft
