#include "skylarkcroft/tables/skylarkcroft_table_rows.h"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "skylarkcroft/internal/skylarkcroft_bounded_json.h"

namespace skylarkcroft {
namespace {

constexpr const char* kRevisionSortKey = "revision";
constexpr size_t kRevisionDigits = 12;

std::string ZeroPadded(int64_t revision) {
  const std::string digits = std::to_string(revision);
  const size_t missing =
      digits.size() < kRevisionDigits ? kRevisionDigits - digits.size() : 0;
  return std::string(missing, '0') + digits;
}

nlohmann::json ParseObject(const std::string& text) {
  nlohmann::json parsed = ParseBoundedJson(text);
  return parsed.is_object() ? parsed : nlohmann::json::object();
}

/// The document text of a table row; "{}" when it is missing or not a string.
std::string DocumentText(const nlohmann::json& row) {
  const auto found = row.find("document");
  return found != row.end() && found->is_string() ? found->get<std::string>()
                                                  : "{}";
}

row_write MakeRowWrite(row_key key, int64_t version,
                       const nlohmann::json& document) {
  row_write write;
  write.row = {std::move(key), version, document.dump()};
  return write;
}

}  // namespace

std::string_view ToString(table_kind kind) {
  return kind == table_kind::kRoutes ? "routes" : "pools";
}

row_key RevisionKey() { return {kTablesPartition, kRevisionSortKey}; }

row_key TableKey(table_kind kind) {
  return {kTablesPartition, std::string(ToString(kind))};
}

row_key EditKey(int64_t revision) {
  return {kEditsPartition, ZeroPadded(revision)};
}

std::vector<row_write> MakeEditWrites(const table_edit& edit) {
  row_write revision =
      MakeRowWrite(RevisionKey(), edit.revision, {{"revision", edit.revision}});
  revision.expected_version = edit.revision - 1;
  const row_write table =
      MakeRowWrite(TableKey(edit.table), edit.revision,
                   {{"revision", edit.revision}, {"document", edit.document}});
  row_write log = MakeRowWrite(EditKey(edit.revision), 1,
                               {{"revision", edit.revision},
                                {"table", ToString(edit.table)},
                                {"edit_id", edit.edit_id},
                                {"at_ms", edit.at_ms},
                                {"by", edit.by},
                                {"document", edit.document}});
  log.expected_version = 0;
  return {revision, table, log};
}

std::optional<int64_t> DecodeRevision(const table_row& row) {
  const nlohmann::json parsed = ParseObject(row.document);
  const auto found = parsed.find("revision");
  if (found == parsed.end() || !found->is_number_integer()) {
    return std::nullopt;
  }
  return found->get<int64_t>();
}

std::optional<table_documents> DecodeTables(
    const std::vector<table_row>& rows) {
  table_documents documents;
  for (const table_row& row : rows) {
    const std::optional<int64_t> revision = DecodeRevision(row);
    if (!revision) {
      continue;
    }
    if (row.key == RevisionKey()) {
      documents.revision = *revision;
      continue;
    }
    const nlohmann::json parsed = ParseObject(row.document);
    if (row.key == TableKey(table_kind::kRoutes)) {
      documents.routes = DocumentText(parsed);
      documents.routes_revision = *revision;
    } else if (row.key == TableKey(table_kind::kPools)) {
      documents.pools = DocumentText(parsed);
      documents.pools_revision = *revision;
    }
  }
  const int64_t newest =
      std::max(documents.routes_revision, documents.pools_revision);
  if (newest != documents.revision) {
    return std::nullopt;
  }
  return documents;
}

std::optional<table_edit> DecodeEdit(const table_row& row) {
  const nlohmann::json parsed = ParseObject(row.document);
  try {
    table_edit edit;
    edit.revision = parsed.at("revision").get<int64_t>();
    edit.table = parsed.at("table").get<std::string>() == "pools"
                     ? table_kind::kPools
                     : table_kind::kRoutes;
    edit.edit_id = parsed.at("edit_id").get<std::string>();
    edit.at_ms = parsed.at("at_ms").get<int64_t>();
    edit.by = parsed.at("by").get<std::string>();
    edit.document = parsed.at("document").get<std::string>();
    return edit;
  } catch (const nlohmann::json::exception&) {
    return std::nullopt;
  }
}

}  // namespace skylarkcroft
