#ifndef SKYLARKCROFT_TABLES_SKYLARKCROFT_TABLE_EDITOR_H_
#define SKYLARKCROFT_TABLES_SKYLARKCROFT_TABLE_EDITOR_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "skylarkcroft/internal/skylarkcroft_time.h"
#include "skylarkcroft/platform/skylarkcroft_table_service.h"
#include "skylarkcroft/tables/skylarkcroft_table_rows.h"

namespace skylarkcroft {

class event_loop;
class active_tables;

/// An operator's request to replace one table.
struct edit_request {
  table_kind table = table_kind::kRoutes;
  /// The new table as JSON text.
  std::string document;
  /// Revision that the edit is based on. The edit conflicts when it is not the
  /// newest one; empty skips this check.
  std::optional<int64_t> base_revision;
  /// Identifies this edit in the edit log.
  std::string edit_id;

  bool operator==(const edit_request&) const = default;
};

enum class edit_outcome {
  kAccepted,  ///< Committed as `revision`.
  kConflict,  ///< Another edit was committed first; nothing written.
  kInvalid,   ///< The document is invalid; nothing was written.
  kRejected,  ///< Store unreadable or write refused; nothing written.
  kUnknown,   ///< The store did not respond; it may be committed.
};

struct edit_result {
  edit_outcome outcome = edit_outcome::kUnknown;
  /// The revision of the edit; for a conflict or an invalid document the
  /// revision found in the store; 0 when the store could not be read.
  int64_t revision = 0;
  std::string detail;
  /// JSON path, reason and remedy; set only for an invalid document.
  std::string path;
  std::string reason;
  std::string remedy;

  bool operator==(const edit_result&) const = default;
};
using edit_done_fn = std::function<void(const edit_result&)>;

/// Commits each edit in one transaction on the table service. When it is
/// unknown whether the transaction was committed, retries it with the same
/// idempotency token and, on a conflict, reads the edit log row of its
/// revision.
class table_editor {
 public:
  table_editor(event_loop& loop, table_service& store, active_tables& tables,
               std::string node_name, clock_fn clock, wall_clock_fn wall_clock);
  ~table_editor();
  table_editor(const table_editor&) = delete;
  table_editor& operator=(const table_editor&) = delete;

  /// Queues an edit and calls `done` with its result. Edits run one at a time,
  /// in the order of the calls.
  void Edit(edit_request request, edit_done_fn done);

 private:
  struct job;
  void StartNext();
  void OnTablesRead(const query_result& result);
  void Commit();
  void OnWritten(const write_result& result);
  void ReadBack();
  void OnReadBack(const read_result& result);
  void RetryOrFail();
  void Finish(const edit_result& result);
  /// Wraps `step` in a callback that does nothing once this object is gone.
  template <typename result_type>
  std::function<void(const result_type&)> IfAlive(
      void (table_editor::*step)(const result_type&));

  event_loop& loop_;
  table_service& store_;
  active_tables& tables_;
  std::string node_name_;
  clock_fn clock_;
  wall_clock_fn wall_clock_;
  std::deque<std::unique_ptr<job>> jobs_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_TABLES_SKYLARKCROFT_TABLE_EDITOR_H_
