#ifndef SKYLARKCROFT_QUARANTINE_SKYLARKCROFT_QUARANTINE_ARCHIVE_H_
#define SKYLARKCROFT_QUARANTINE_SKYLARKCROFT_QUARANTINE_ARCHIVE_H_

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "skylarkcroft/internal/skylarkcroft_time.h"
#include "skylarkcroft/quarantine/skylarkcroft_part_quarantine.h"
#include "skylarkcroft/quarantine/skylarkcroft_quarantine_notice.h"
#include "skylarkcroft/quarantine/skylarkcroft_request_quarantine.h"
#include "skylarkcroft/store/skylarkcroft_row_store.h"

namespace skylarkcroft {

/// A node's part in archiving quarantines.
struct archive_role {
  /// The node writes changes to the store on behalf of all.
  bool is_writer = false;
  /// The node hears too few peers to learn quarantines from their reports.
  bool is_isolated = false;
  /// Of what a restore of the store undid, this writer only writes what the
  /// first one has not.
  bool is_second_writer = false;

  bool operator==(const archive_role&) const = default;
};

/// Keeps quarantines of parts and of requests in the store, so that they
/// outlast the end of all nodes and reach nodes that are cut off from their
/// peers. Reads them once at the start; times are kept on the store's own
/// clock.
class quarantine_archive {
 public:
  /// `on_outcome` is called with the outcome of each call to the store. The
  /// store and the quarantines must outlive the archive.
  quarantine_archive(row_store& store, part_quarantine& parts,
                     request_quarantine& requests, clock_fn clock,
                     std::function<void(store_outcome)> on_outcome);

  /// Starts the call that is due, if any; to be called regularly.
  void Tick(time_point now, const archive_role& role);
  /// The quarantines have changed.
  void OnChange() { changed_ = true; }
  /// The store has come back from an older copy and may lack what was written.
  void OnStoreRestored(time_point now);

 private:
  void Read(bool then_write);
  /// Takes in the rows of the store; returns whether they could be read.
  bool Apply(const store_response& view, time_point now);
  void Write(const store_response& view, time_point now);
  /// The rows of all quarantines in force.
  [[nodiscard]] std::vector<row_change> Rows(milliseconds store_now,
                                             time_point now) const;

  row_store& store_;
  part_quarantine& parts_;
  request_quarantine& requests_;
  clock_fn clock_;
  std::function<void(store_outcome)> on_outcome_;
  bool loaded_ = false;
  bool changed_ = false;
  bool calling_ = false;
  time_point next_call_{};
  /// Until then a second writer leaves it to the first.
  time_point first_writer_until_{};
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

/// Row of a quarantine; `store_now` is the time of the store's clock.
row_change EncodeQuarantineRow(const quarantined_parts& entry,
                               milliseconds store_now);
row_change EncodeRequestRow(const quarantined_request& entry,
                            milliseconds store_now);
/// Reads a row; returns nothing if it is invalid or of another kind.
std::optional<quarantined_parts> DecodeQuarantineRow(const stored_row& row,
                                                     milliseconds store_now);
std::optional<quarantined_request> DecodeRequestRow(const stored_row& row,
                                                    milliseconds store_now);

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_QUARANTINE_SKYLARKCROFT_QUARANTINE_ARCHIVE_H_
