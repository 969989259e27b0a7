#ifndef SKYLARKCROFT_TABLES_SKYLARKCROFT_TABLE_SYNC_H_
#define SKYLARKCROFT_TABLES_SKYLARKCROFT_TABLE_SYNC_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

#include "skylarkcroft/internal/skylarkcroft_time.h"

namespace skylarkcroft {

class tables_in_force;
struct revision_report;
struct table_documents;

/// Direct topic that asks a member for its tables.
inline constexpr const char* kTableFetchTopic = "tables.fetch";
/// Direct topic of the answer.
inline constexpr const char* kTableDocumentsTopic = "tables.documents";

/// Calls of table_sync into the node.
struct table_sync_hooks {
  /// Sends to one member; false when it cannot.
  std::function<bool(const std::string& to, const std::string& topic,
                     const std::string& payload)>
      send;
  /// Reads the store.
  std::function<void()> poll_store;
  std::function<void(const std::string& message)> on_invalid;
};

/// Keeps the tables in force at the highest revision that the other members
/// have: fetches from a member what it says it has, and falls back to the
/// store.
class table_sync {
 public:
  table_sync(tables_in_force& tables, table_sync_hooks hooks);

  void OnRevision(const revision_report& report, time_point now);
  void OnFetch(const std::string& from, const std::string& payload);
  void OnDocuments(const std::string& payload);
  /// Gives up a fetch that got no answer.
  void Tick(time_point now);

 private:
  struct fetch {
    int64_t number = 0;
    time_point asked_at{};
  };

  void Fetch(const std::string& from, time_point now);
  void Take(const table_documents& documents, time_point asked_at);

  tables_in_force& tables_;
  table_sync_hooks hooks_;
  std::optional<fetch> under_way_;
  int64_t next_number_ = 1;
};

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_TABLES_SKYLARKCROFT_TABLE_SYNC_H_
