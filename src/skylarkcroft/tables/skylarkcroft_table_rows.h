#ifndef SKYLARKCROFT_TABLES_SKYLARKCROFT_TABLE_ROWS_H_
#define SKYLARKCROFT_TABLES_SKYLARKCROFT_TABLE_ROWS_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "skylarkcroft/platform/skylarkcroft_table_service.h"
#include "skylarkcroft/tables/skylarkcroft_table_set.h"

namespace skylarkcroft {

/// Which of the operators' tables.
enum class table_kind { kRoutes, kPools };

/// `routes` or `pools`.
std::string_view ToString(table_kind kind);

/// Partition that holds the current tables and the newest revision.
inline constexpr const char* kTablesPartition = "tables";
/// Partition that holds one row for each accepted edit, by revision.
inline constexpr const char* kEditsPartition = "table-edits";

/// One accepted edit, as kept in the log.
struct table_edit {
  int64_t revision = 0;
  table_kind table = table_kind::kRoutes;
  /// Chosen by the editor of the table; tells its own edit from another's.
  std::string edit_id;
  /// Milliseconds since the Unix epoch.
  int64_t at_ms = 0;
  /// Name of the node that made it.
  std::string by;
  std::string document;

  bool operator==(const table_edit&) const = default;
};

row_key RevisionKey();
row_key TableKey(table_kind kind);
row_key EditKey(int64_t revision);

/// The transaction that puts `edit` in force after revision
/// `edit.revision - 1`.
std::vector<row_write> EditWrites(const table_edit& edit);

/// The revision that the row at RevisionKey() tells; empty when malformed.
std::optional<int64_t> DecodeRevision(const table_row& row);

/// Documents from the rows of kTablesPartition. Empty when the rows are not of
/// one revision, as a read during a commit can show; read again then.
std::optional<table_documents> DecodeTables(const std::vector<table_row>& rows);

/// Empty when `row` is not an edit.
std::optional<table_edit> DecodeEdit(const table_row& row);

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_TABLES_SKYLARKCROFT_TABLE_ROWS_H_
