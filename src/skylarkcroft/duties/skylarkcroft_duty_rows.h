#ifndef SKYLARKCROFT_DUTIES_SKYLARKCROFT_DUTY_ROWS_H_
#define SKYLARKCROFT_DUTIES_SKYLARKCROFT_DUTY_ROWS_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "skylarkcroft/control/skylarkcroft_pool_lease.h"
#include "skylarkcroft/duties/skylarkcroft_usage_journal.h"
#include "skylarkcroft/internal/skylarkcroft_time.h"
#include "skylarkcroft/store/skylarkcroft_row_store.h"

namespace skylarkcroft {

/// Table of the store with the rows of the duties.
inline constexpr char kDutiesTable[] = "duties";

/// A write of the duty rows, to be committed by the owner of the rows.
struct duty_write {
  lease_step step = lease_step::kWait;
  row_transaction transaction;
  std::optional<usage_journal> journal;  ///< As written, if it is.
  int64_t era = 0;                       ///< Era of the written rows.

  bool operator==(const duty_write&) const = default;
};

/// The lease and the usage journal of the duties in the store, through restores
/// of the store from older copies. Each era has rows of its own: the store
/// gives out versions again after a restore, so a late write of an earlier era
/// could meet the condition of its write. Does no I/O.
class duty_rows {
 public:
  /// `on_event` logs an event with a detail.
  duty_rows(
      const lease_member& self, const lease_parameters& parameters,
      std::function<void(std::string_view event, const std::string& detail)>
          on_event);

  [[nodiscard]] const pool_lease& lease() const { return lease_; }
  [[nodiscard]] const usage_journal& journal() const { return journal_; }
  /// Condition of a transaction that is to take effect only while the lease row
  /// is as this process knows it.
  [[nodiscard]] row_condition LeaseCondition() const;
  /// Windows before this one may have been reported with counts that were lost
  /// with a restore, and must not be reported anew.
  [[nodiscard]] int64_t first_open_window() const { return first_open_window_; }

  /// Returns the write for `step`, with `journal` if it is given.
  [[nodiscard]] duty_write BeginWrite(lease_step step,
                                      std::optional<usage_journal> journal,
                                      time_point now);
  /// Takes in the response to the write. `newest_settled_window` is the newest
  /// window whose counts are final at `now`. Returns whether the rows have to
  /// be read.
  [[nodiscard]] bool OnWritten(const duty_write& write,
                               const store_response& response,
                               int64_t newest_settled_window, time_point now);
  /// Takes in the rows of the table.
  void OnRead(const store_response& response, int64_t newest_settled_window,
              time_point now);

 private:
  void OnEra(int64_t era, int64_t newest_settled_window, time_point now);
  /// Takes in the journal of the present era or, where the store has none yet,
  /// what its copy and this process know of those before.
  void OnJournalRows(const std::vector<stored_row>& rows);
  [[nodiscard]] std::optional<usage_journal> ReadJournal(
      const stored_row& row) const;

  pool_lease lease_;
  std::function<void(std::string_view, const std::string&)> on_event_;
  usage_journal journal_;
  /// Era of the latest response of the store.
  int64_t era_ = 0;
  /// Whether the store holds the journal of this era.
  bool journal_stored_ = true;
  int64_t first_open_window_ = 0;
  /// Keys of rows of earlier eras that the store still holds.
  std::vector<std::string> outdated_keys_;
};

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_DUTIES_SKYLARKCROFT_DUTY_ROWS_H_
