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
class tables_in_force;

/// An operator's edit of one table.
struct edit_request {
  table_kind table = table_kind::kRoutes;
  /// JSON text.
  std::string document;
  /// Revision the edit is based on; empty takes the newest.
  std::optional<int64_t> base_revision;
  std::string edit_id;

  bool operator==(const edit_request&) const = default;
};

enum class edit_outcome {
  kAccepted,  ///< Committed under `revision`.
  kConflict,  ///< Another edit came first; nothing was written.
  kInvalid,   ///< The document fails validation; nothing was written.
  kRejected,  ///< The store could not be read; nothing was written.
  kUnknown,   ///< The store gave no answer; the edit may be in force.
};

struct edit_result {
  edit_outcome outcome = edit_outcome::kUnknown;
  /// The edit's revision, or for a conflict the newest one.
  int64_t revision = 0;
  std::string detail;
  /// JSON path, reason and remedy of an invalid document.
  std::string path;
  std::string reason;
  std::string remedy;

  bool operator==(const edit_result&) const = default;
};
using edit_done_fn = std::function<void(const edit_result&)>;

/// Commits edits by one transaction on the table service each. A lost answer is
/// settled by repeating the transaction under the same token and by reading the
/// log row of its revision.
class table_editor {
 public:
  table_editor(event_loop& loop, table_service& store, tables_in_force& tables,
               std::string node_name, clock_fn clock, wall_clock_fn wall_clock);
  ~table_editor();
  table_editor(const table_editor&) = delete;
  table_editor& operator=(const table_editor&) = delete;

  /// Edits run one at a time, in order.
  void Edit(edit_request request, edit_done_fn done);

 private:
  struct job;
  void StartNext();
  void OnCurrent(const query_result& result);
  void Commit();
  void OnWritten(const write_result& result);
  void ReadBack();
  void OnReadBack(const read_result& result);
  void RetryOrGiveUp();
  void Finish(const edit_result& result);
  template <typename result_type>
  std::function<void(const result_type&)> Guard(
      void (table_editor::*step)(const result_type&));

  event_loop& loop_;
  table_service& store_;
  tables_in_force& tables_;
  std::string node_name_;
  clock_fn clock_;
  wall_clock_fn wall_clock_;
  std::deque<std::unique_ptr<job>> jobs_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_TABLES_SKYLARKCROFT_TABLE_EDITOR_H_
