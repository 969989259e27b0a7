#include "skylarkcroft/tables/skylarkcroft_table_sync.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "skylarkcroft/internal/skylarkcroft_error.h"
#include "skylarkcroft/mesh/skylarkcroft_mesh.h"
#include "skylarkcroft/tables/skylarkcroft_tables_in_force.h"

namespace skylarkcroft {
namespace {

using json = nlohmann::json;

constexpr milliseconds kFetchTimeout{500};
constexpr size_t kMaxDocumentBytes = size_t{3} * 1024 * 1024;

std::string Pack(const json& fields) {
  std::string payload;
  json::to_msgpack(fields, payload);
  return payload;
}

json Unpack(const std::string& payload) {
  json fields = json::from_msgpack(payload, true, false);
  return fields.is_object() ? fields : json::object();
}

int64_t NumberIn(const json& fields, const char* key) {
  const auto found = fields.find(key);
  return found != fields.end() && found->is_number_integer()
             ? found->get<int64_t>()
             : 0;
}

std::optional<std::string> TextIn(const json& fields, const char* key) {
  const auto found = fields.find(key);
  if (found == fields.end() || !found->is_string()) {
    return std::nullopt;
  }
  return found->get<std::string>();
}

}  // namespace

table_sync::table_sync(tables_in_force& tables, table_sync_hooks hooks)
    : tables_(tables), hooks_(std::move(hooks)) {}

void table_sync::OnRevision(const revision_report& report, time_point now) {
  tables_.NoteExists(report.revision);
  if (report.revision > tables_.current()->revision) {
    if (!under_way_) {
      Fetch(report.from, now);
    }
    return;
  }
  if (report.asked_at) {
    tables_.NoteLatest(report.revision, *report.asked_at);
  }
}

void table_sync::Fetch(const std::string& from, time_point now) {
  const table_set& held = *tables_.current();
  const int64_t number = next_number_++;
  under_way_ = fetch{number, now};
  const bool sent = hooks_.send(from, kTableFetchTopic,
                                Pack({{"n", number},
                                      {"routes", held.routes_revision},
                                      {"pools", held.pools_revision}}));
  if (!sent) {
    under_way_.reset();
    hooks_.poll_store();
  }
}

void table_sync::Tick(time_point now) {
  if (under_way_ && now - under_way_->asked_at >= kFetchTimeout) {
    under_way_.reset();
    hooks_.poll_store();
  }
}

void table_sync::OnFetch(const std::string& from, const std::string& payload) {
  const json asked = Unpack(payload);
  const table_set& held = *tables_.current();
  json answer = {{"n", NumberIn(asked, "n")},
                 {"revision", held.revision},
                 {"routes_revision", held.routes_revision},
                 {"pools_revision", held.pools_revision}};
  // A table that the other has already is left out.
  if (NumberIn(asked, "routes") != held.routes_revision) {
    answer["routes"] = held.routes_document;
  }
  if (NumberIn(asked, "pools") != held.pools_revision) {
    answer["pools"] = held.pools_document;
  }
  const std::string packed = Pack(answer);
  if (packed.size() <= kMaxDocumentBytes) {
    hooks_.send(from, kTableDocumentsTopic, packed);
  }
}

void table_sync::OnDocuments(const std::string& payload) {
  const json answer = Unpack(payload);
  if (!under_way_ || NumberIn(answer, "n") != under_way_->number) {
    return;
  }
  const time_point asked_at = under_way_->asked_at;
  under_way_.reset();
  const table_set& held = *tables_.current();
  table_documents documents;
  documents.revision = NumberIn(answer, "revision");
  documents.routes_revision = NumberIn(answer, "routes_revision");
  documents.pools_revision = NumberIn(answer, "pools_revision");
  const std::optional<std::string> routes = TextIn(answer, "routes");
  const std::optional<std::string> pools = TextIn(answer, "pools");
  documents.routes = routes.value_or(held.routes_document);
  documents.pools = pools.value_or(held.pools_document);
  const bool whole =
      (routes || documents.routes_revision == held.routes_revision) &&
      (pools || documents.pools_revision == held.pools_revision);
  if (whole && documents.revision > held.revision) {
    Take(documents, asked_at);
  }
}

void table_sync::Take(const table_documents& documents, time_point asked_at) {
  try {
    tables_.Adopt(MakeTableSet(documents), asked_at);
  } catch (const config_error& invalid) {
    hooks_.on_invalid(invalid.what());
    hooks_.poll_store();
  }
}

}  // namespace skylarkcroft
