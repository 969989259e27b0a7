#include "skylarkcroft/tables/skylarkcroft_table_sync.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "skylarkcroft/internal/skylarkcroft_bounded_json.h"
#include "skylarkcroft/internal/skylarkcroft_error.h"
#include "skylarkcroft/mesh/skylarkcroft_mesh.h"
#include "skylarkcroft/tables/skylarkcroft_active_tables.h"

namespace skylarkcroft {
namespace {

using json = nlohmann::json;

constexpr milliseconds kFetchTimeout{500};
constexpr size_t kMaxDocumentBytes = size_t{3} * 1024 * 1024;

std::string EncodeFields(const json& fields) {
  std::string payload;
  json::to_msgpack(fields, payload);
  return payload;
}

json DecodeFields(const std::string& payload) {
  json fields = DecodeBoundedMessagePack(payload);
  return fields.is_object() ? fields : json::object();
}

// 0 when the field is missing or not an integer.
int64_t IntField(const json& fields, const char* key) {
  const auto found = fields.find(key);
  return found != fields.end() && found->is_number_integer()
             ? found->get<int64_t>()
             : 0;
}

std::optional<std::string> StringField(const json& fields, const char* key) {
  const auto found = fields.find(key);
  if (found == fields.end() || !found->is_string()) {
    return std::nullopt;
  }
  return found->get<std::string>();
}

}  // namespace

table_sync::table_sync(active_tables& tables, table_sync_callbacks hooks)
    : tables_(tables), hooks_(std::move(hooks)) {}

void table_sync::OnRevisionReport(const revision_report& report,
                                  time_point now) {
  tables_.RecordKnownRevision(report.revision);
  if (report.revision > tables_.current()->revision) {
    if (!pending_fetch_) {
      Fetch(report.from, now);
    }
    return;
  }
  if (report.asked_at) {
    tables_.RecordNewestRevision(report.revision, *report.asked_at);
  }
}

void table_sync::Fetch(const std::string& from, time_point now) {
  const table_set& active = *tables_.current();
  const int64_t id = next_fetch_id_++;
  pending_fetch_ = fetch{id, now};
  const bool sent =
      hooks_.send(from, kTableFetchTopic,
                  EncodeFields({{"n", id},
                                {"routes", active.routes_revision},
                                {"pools", active.pools_revision}}));
  if (!sent) {
    pending_fetch_.reset();
    hooks_.poll_store();
  }
}

void table_sync::Tick(time_point now) {
  if (pending_fetch_ && now - pending_fetch_->sent_at >= kFetchTimeout) {
    pending_fetch_.reset();
    hooks_.poll_store();
  }
}

void table_sync::OnFetchRequest(const std::string& from,
                                const std::string& payload) {
  const json request = DecodeFields(payload);
  const table_set& active = *tables_.current();
  json response = {{"n", IntField(request, "n")},
                   {"revision", active.revision},
                   {"routes_revision", active.routes_revision},
                   {"pools_revision", active.pools_revision}};
  // Omit a table that the other node already has.
  if (IntField(request, "routes") != active.routes_revision) {
    response["routes"] = active.routes_document;
  }
  if (IntField(request, "pools") != active.pools_revision) {
    response["pools"] = active.pools_document;
  }
  const std::string encoded = EncodeFields(response);
  if (encoded.size() <= kMaxDocumentBytes) {
    hooks_.send(from, kTableDocumentsTopic, encoded);
  }
}

void table_sync::OnDocuments(const std::string& payload) {
  const json response = DecodeFields(payload);
  if (!pending_fetch_ || IntField(response, "n") != pending_fetch_->id) {
    return;
  }
  const time_point sent_at = pending_fetch_->sent_at;
  pending_fetch_.reset();
  const table_set& active = *tables_.current();
  table_documents documents;
  documents.revision = IntField(response, "revision");
  documents.routes_revision = IntField(response, "routes_revision");
  documents.pools_revision = IntField(response, "pools_revision");
  const std::optional<std::string> routes = StringField(response, "routes");
  const std::optional<std::string> pools = StringField(response, "pools");
  documents.routes = routes.value_or(active.routes_document);
  documents.pools = pools.value_or(active.pools_document);
  const bool complete =
      (routes || documents.routes_revision == active.routes_revision) &&
      (pools || documents.pools_revision == active.pools_revision);
  if (complete && documents.revision > active.revision) {
    ActivateIfValid(documents, sent_at);
  }
}

void table_sync::ActivateIfValid(const table_documents& documents,
                                 time_point sent_at) {
  try {
    tables_.Adopt(MakeTableSet(documents), sent_at);
  } catch (const config_error& invalid) {
    hooks_.on_invalid(invalid.what());
    hooks_.poll_store();
  }
}

}  // namespace skylarkcroft
