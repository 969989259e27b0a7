#ifndef SKYLARKCROFT_STORE_SKYLARKCROFT_ROW_STORE_H_
#define SKYLARKCROFT_STORE_SKYLARKCROFT_ROW_STORE_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "skylarkcroft/internal/skylarkcroft_time.h"
#include "skylarkcroft/store/skylarkcroft_store_position.h"

namespace skylarkcroft {

/// A row read from the shared store. The store assigns versions that increase
/// with every change of any of its rows.
struct stored_row {
  std::string table;
  std::string key;
  std::string value;
  int64_t version = 0;
  bool removed = false;  ///< The row was removed by this version.

  bool operator==(const stored_row&) const = default;
};

enum class store_outcome {
  kDone,
  kConflict,     ///< A condition failed; nothing was written.
  kHistoryGone,  ///< The store no longer keeps the changes since the version.
  kRefused,      ///< The store rejected the call without effect.
  kUnknown,      ///< No response; a write may take effect now or later.
};

std::string_view ToString(store_outcome outcome);

/// Response to a call. For a read or a watch, `version` is the newest version
/// of the store. `era` is 0 when the store states none. `responded_at` is the
/// time of the response on the store's own monotonic clock; empty when the
/// store does not state it.
struct store_response {
  store_outcome outcome = store_outcome::kUnknown;
  std::vector<stored_row> rows{};
  int64_t version = 0;
  std::optional<milliseconds> responded_at{};
  int64_t era = 0;
  /// For a watch: no change later than those in `rows` had been made at
  /// `responded_at`. False for a page of changes, which may end at any of them.
  bool reaches_newest = false;
  /// The store began to respond, but the rest did not arrive in time.
  bool cut_short = false;

  /// The newest version of the store, or that of the written rows.
  [[nodiscard]] store_position at() const { return {era, version}; }

  bool operator==(const store_response&) const = default;
};

/// Condition of a transaction: the version that a row must have, or 0 for a row
/// that must not exist.
struct row_condition {
  std::string table;
  std::string key;
  int64_t version = 0;

  bool operator==(const row_condition&) const = default;
};

/// Change of a row: the value to write, or none to remove the row.
struct row_change {
  std::string table;
  std::string key;
  std::optional<std::string> value;

  bool operator==(const row_change&) const = default;
};

/// Changes that are applied atomically if all conditions hold.
struct row_transaction {
  std::vector<row_condition> conditions;
  std::vector<row_change> changes;

  bool operator==(const row_transaction&) const = default;
};

using store_done_fn = std::function<void(const store_response&)>;

/// The platform's shared store of rows. Reads are linearizable, until the store
/// comes back from an older copy and begins a new era (see store_position).
/// `done` is never invoked before the call itself has returned.
class row_store {
 public:
  virtual ~row_store() = default;

  /// Reads all rows of `table`.
  virtual void Read(const std::string& table, store_done_fn done) = 0;
  /// Long poll: responds with the rows of `table` changed after `version` as
  /// soon as there are any, or with none after `wait`. The response may leave
  /// out later changes; to get them, watch from its `version`.
  virtual void Watch(const std::string& table, int64_t version,
                     milliseconds wait, store_done_fn done) = 0;
  /// Commits a transaction. On success the response has the version of the
  /// written rows; on a conflict its `rows` are the present rows of the
  /// conditions.
  virtual void Commit(const row_transaction& transaction,
                      store_done_fn done) = 0;
};

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_STORE_SKYLARKCROFT_ROW_STORE_H_
