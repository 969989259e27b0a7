#ifndef SKYLARKCROFT_TABLES_SKYLARKCROFT_TABLE_SET_H_
#define SKYLARKCROFT_TABLES_SKYLARKCROFT_TABLE_SET_H_

#include <cstdint>
#include <memory>
#include <string>

#include "skylarkcroft/tables/skylarkcroft_pools_table.h"
#include "skylarkcroft/tables/skylarkcroft_routes_table.h"

namespace skylarkcroft {

/// Both tables at one revision, with the JSON text they were parsed from.
/// Revision 0 is the empty set before the first edit.
struct table_set {
  int64_t revision = 0;
  /// Revision at which each table last changed.
  int64_t routes_revision = 0;
  int64_t pools_revision = 0;
  std::string routes_document = "{}";
  std::string pools_document = "{}";
  routes_table routes;
  pools_table pools;

  bool operator==(const table_set&) const = default;
};
using table_set_ptr = std::shared_ptr<const table_set>;

/// Throws config_error when a route refers to a pool that is not in `pools`.
void CheckPoolReferences(const routes_table& routes, const pools_table& pools);

/// The unparsed documents (JSON text) of both tables, with their revisions.
struct table_documents {
  int64_t revision = 0;
  int64_t routes_revision = 0;
  int64_t pools_revision = 0;
  std::string routes = "{}";
  std::string pools = "{}";

  bool operator==(const table_documents&) const = default;
};

/// Parses both documents and checks that the pool of each route exists. Throws
/// config_error.
table_set_ptr MakeTableSet(const table_documents& documents);

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_TABLES_SKYLARKCROFT_TABLE_SET_H_
