#ifndef SKYLARKCROFT_TABLES_SKYLARKCROFT_TABLE_LOADER_H_
#define SKYLARKCROFT_TABLES_SKYLARKCROFT_TABLE_LOADER_H_

#include <cstdint>
#include <functional>
#include <memory>

#include "skylarkcroft/internal/skylarkcroft_time.h"
#include "skylarkcroft/platform/skylarkcroft_table_service.h"

namespace skylarkcroft {

class tables_in_force;

/// Brings the tables of the table service into force: reads the revision, and
/// the tables when it is higher than the one in force.
class table_loader {
 public:
  /// `on_invalid(message)` is told of stored tables that do not parse.
  using invalid_fn = std::function<void(const std::string& message)>;

  table_loader(table_service& store, tables_in_force& tables, clock_fn clock,
               invalid_fn on_invalid);

  /// Starts a poll unless one is under way.
  void Poll();
  /// True when the last poll that ended got an answer.
  [[nodiscard]] bool store_reachable() const { return *store_reachable_; }

 private:
  void OnRevision(const read_result& result);
  void LoadTables();
  void OnTables(const query_result& result);

  table_service& store_;
  tables_in_force& tables_;
  clock_fn clock_;
  invalid_fn on_invalid_;
  bool polling_ = false;
  // Whether the rows read last were of different revisions.
  bool torn_ = false;
  time_point asked_at_{};
  // Outlives this object in the store's callbacks, which test it.
  std::shared_ptr<bool> store_reachable_ = std::make_shared<bool>(false);
};

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_TABLES_SKYLARKCROFT_TABLE_LOADER_H_
