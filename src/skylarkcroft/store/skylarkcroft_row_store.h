#ifndef SKYLARKCROFT_STORE_SKYLARKCROFT_ROW_STORE_H_
#define SKYLARKCROFT_STORE_SKYLARKCROFT_ROW_STORE_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "skylarkcroft/internal/skylarkcroft_time.h"

namespace skylarkcroft {

/// A row of the shared store, as read. `version` rises with each change of any
/// row of the store.
struct stored_row {
  std::string table;
  std::string key;
  std::string value;
  int64_t version = 0;
  bool removed = false;

  bool operator==(const stored_row&) const = default;
};

enum class store_outcome {
  kDone,
  kConflict,     ///< A condition failed; nothing was written.
  kHistoryGone,  ///< Changes since the version asked for are no longer kept.
  kRefused,      ///< The store said that nothing was done.
  kUnknown,      ///< No answer; a write may take effect now or later.
};

std::string_view ToString(store_outcome outcome);

/// Answer to a read or a watch. `version` is the newest version of the store,
/// `answered_at` the time of the answer on the store's own monotonic clock.
struct store_view {
  store_outcome outcome = store_outcome::kUnknown;
  std::vector<stored_row> rows{};
  int64_t version = 0;
  std::optional<milliseconds> answered_at{};

  bool operator==(const store_view&) const = default;
};

/// A condition on a row: the version it must have, 0 for a row that must not
/// exist.
struct row_condition {
  std::string table;
  std::string key;
  int64_t version = 0;

  bool operator==(const row_condition&) const = default;
};

/// A value to write; without one the row is removed.
struct row_change {
  std::string table;
  std::string key;
  std::optional<std::string> value;

  bool operator==(const row_change&) const = default;
};

/// Applied whole or not at all.
struct row_transaction {
  std::vector<row_condition> conditions;
  std::vector<row_change> changes;

  bool operator==(const row_transaction&) const = default;
};

using store_done_fn = std::function<void(const store_view&)>;

/// The platform's store of rows. Reads are linearizable. Calls never answer
/// from inside themselves.
class row_store {
 public:
  virtual ~row_store() = default;

  /// All rows of `table`.
  virtual void Read(const std::string& table, store_done_fn done) = 0;
  /// Rows of `table` changed after `version`, as soon as there is one, or none
  /// after `wait`.
  virtual void Watch(const std::string& table, int64_t version,
                     milliseconds wait, store_done_fn done) = 0;
  /// On success `version` is that of the rows written; on a conflict `rows`
  /// holds the present rows of the conditions.
  virtual void Commit(const row_transaction& transaction,
                      store_done_fn done) = 0;
};

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_STORE_SKYLARKCROFT_ROW_STORE_H_
