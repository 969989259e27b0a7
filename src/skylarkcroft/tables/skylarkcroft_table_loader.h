#ifndef SKYLARKCROFT_TABLES_SKYLARKCROFT_TABLE_LOADER_H_
#define SKYLARKCROFT_TABLES_SKYLARKCROFT_TABLE_LOADER_H_

#include <cstdint>
#include <functional>
#include <memory>

#include "skylarkcroft/internal/skylarkcroft_time.h"
#include "skylarkcroft/platform/skylarkcroft_table_service.h"

namespace skylarkcroft {

class active_tables;

/// Polls the table service for newer tables: reads the newest revision, and
/// loads and activates the tables when it is higher than the active one.
class table_loader {
 public:
  /// Receives the error message when the stored tables are invalid.
  using invalid_fn = std::function<void(const std::string& message)>;

  table_loader(table_service& store, active_tables& tables, clock_fn clock,
               invalid_fn on_invalid);

  /// Starts a poll unless one is already running.
  void Poll();
  /// True when the store responded to the last completed poll.
  [[nodiscard]] bool store_reachable() const { return *store_reachable_; }

 private:
  void OnRevisionRead(const read_result& result);
  void LoadTables();
  void OnTablesRead(const query_result& result);

  table_service& store_;
  active_tables& tables_;
  clock_fn clock_;
  invalid_fn on_invalid_;
  bool polling_ = false;
  // Whether the last read saw rows of different revisions and was retried.
  bool torn_read_retried_ = false;
  // When the last read was sent to the store.
  time_point queried_at_{};
  // Callbacks hold a weak_ptr to it to detect that this object was destroyed.
  std::shared_ptr<bool> store_reachable_ = std::make_shared<bool>(false);
};

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_TABLES_SKYLARKCROFT_TABLE_LOADER_H_
