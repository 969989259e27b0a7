#ifndef SKYLARKCROFT_TABLES_SKYLARKCROFT_TABLE_SYNC_H_
#define SKYLARKCROFT_TABLES_SKYLARKCROFT_TABLE_SYNC_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

#include "skylarkcroft/internal/skylarkcroft_time.h"

namespace skylarkcroft {

class active_tables;
struct revision_report;
struct table_documents;

/// Topic of the direct message that requests the tables of another node.
inline constexpr const char* kTableFetchTopic = "tables.fetch";
/// Topic of the response.
inline constexpr const char* kTableDocumentsTopic = "tables.documents";

/// Functions of the node that table_sync calls.
struct table_sync_callbacks {
  /// Sends a direct message to one node; returns false when it can't be sent.
  std::function<bool(const std::string& to, const std::string& topic,
                     const std::string& payload)>
      send;
  /// Starts loading the tables from the store.
  std::function<void()> poll_store;
  /// Receives the error message when fetched tables are invalid.
  std::function<void(const std::string& message)> on_invalid;
};

/// Keeps the active tables at the highest revision that other nodes report:
/// fetches newer tables from the node that reported them, and falls back to the
/// store when that fails.
class table_sync {
 public:
  table_sync(active_tables& tables, table_sync_callbacks hooks);

  /// Handles the revision that another node reports for its active tables.
  void OnRevisionReport(const revision_report& report, time_point now);
  /// Responds to another node's request for tables.
  void OnFetchRequest(const std::string& from, const std::string& payload);
  /// Handles the response to a fetch.
  void OnDocuments(const std::string& payload);
  /// Abandons a fetch that has timed out, and polls the store instead.
  void Tick(time_point now);

 private:
  struct fetch {
    int64_t id = 0;
    time_point sent_at{};
  };

  void Fetch(const std::string& from, time_point now);
  void ActivateIfValid(const table_documents& documents, time_point sent_at);

  active_tables& tables_;
  table_sync_callbacks hooks_;
  std::optional<fetch> pending_fetch_;
  int64_t next_fetch_id_ = 1;
};

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_TABLES_SKYLARKCROFT_TABLE_SYNC_H_
