#ifndef SKYLARKCROFT_TABLES_SKYLARKCROFT_TABLE_ROWS_H_
#define SKYLARKCROFT_TABLES_SKYLARKCROFT_TABLE_ROWS_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "skylarkcroft/platform/skylarkcroft_table_service.h"
#include "skylarkcroft/tables/skylarkcroft_table_set.h"

namespace skylarkcroft {

/// The operators' tables.
enum class table_kind { kRoutes, kPools };

/// Name in stored rows: `routes` or `pools`.
std::string_view ToString(table_kind kind);

/// Partition that holds the newest tables and their revision.
inline constexpr const char* kTablesPartition = "tables";
/// Partition of the edit log: one row for each accepted edit, by revision.
inline constexpr const char* kEditsPartition = "table-edits";

/// An accepted edit, as stored in the edit log.
struct table_edit {
  int64_t revision = 0;
  table_kind table = table_kind::kRoutes;
  /// Chosen by whoever submits the edit; distinguishes it from other edits.
  std::string edit_id;
  /// When the edit was prepared, in milliseconds since the Unix epoch.
  int64_t at_ms = 0;
  /// Name of the node that committed the edit.
  std::string by;
  /// The new table as JSON text.
  std::string document;

  bool operator==(const table_edit&) const = default;
};

row_key RevisionKey();
row_key TableKey(table_kind kind);
row_key EditKey(int64_t revision);

/// The transaction that commits `edit`. It conflicts unless the newest revision
/// is `edit.revision - 1` and the edit log has no row of `edit.revision`.
std::vector<row_write> MakeEditWrites(const table_edit& edit);

/// The revision of a row of kTablesPartition; empty when malformed.
std::optional<int64_t> DecodeRevision(const table_row& row);

/// The documents in the rows of kTablesPartition. Empty when the newest table
/// is not of the revision at RevisionKey(). A read that overlaps a commit can
/// see this; the reader should retry.
std::optional<table_documents> DecodeTables(const std::vector<table_row>& rows);

/// Empty when `row` is not a valid edit log row.
std::optional<table_edit> DecodeEdit(const table_row& row);

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_TABLES_SKYLARKCROFT_TABLE_ROWS_H_
