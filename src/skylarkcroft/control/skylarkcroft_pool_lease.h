#ifndef SKYLARKCROFT_CONTROL_SKYLARKCROFT_POOL_LEASE_H_
#define SKYLARKCROFT_CONTROL_SKYLARKCROFT_POOL_LEASE_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

#include "skylarkcroft/control/skylarkcroft_lease_decision.h"
#include "skylarkcroft/control/skylarkcroft_lease_record.h"
#include "skylarkcroft/internal/skylarkcroft_time.h"
#include "skylarkcroft/platform/skylarkcroft_group_commit.h"
#include "skylarkcroft/platform/skylarkcroft_table_service.h"

namespace skylarkcroft {

/// State of one pool's lease as this process knows it, and whether the process
/// may act under it. It performs no I/O: its owner reads and writes the row and
/// passes in the results.
class pool_lease {
 public:
  pool_lease(std::string pool_name, lease_member self,
             lease_parameters parameters);

  /// Takes in the result of a read. A read that was sent before the last write
  /// completed is outdated and must not be passed in.
  void OnRowRead(const read_result& read, time_point now);

  /// The store has come back from an older copy and what was written since is
  /// lost. The row of this lease is a new one, which does not exist yet, and
  /// new fencing tokens are greater than `fence_floor`. A member whose lease
  /// runs creates the row at once; the others wait until that lease has ended.
  void OnStoreRestored(int64_t fence_floor, time_point now);

  [[nodiscard]] lease_step NextStep(size_t position, time_point now) const;
  /// Returns the write for `step` and marks a write as in progress from `now`
  /// on.
  row_write BeginWrite(lease_step step, time_point now);
  /// Takes in the outcome of the write. Returns true when the row must be read
  /// to learn whether the write took effect.
  [[nodiscard]] bool EndWrite(row_outcome outcome, time_point now);

  /// True when an order may be started at `now`. Depends only on this process's
  /// clock, so it is also correct after the process was paused.
  [[nodiscard]] bool MayAct(time_point now) const;
  /// True when an order sent at `sent_at` may still take effect at `now`: its
  /// timeout has not passed and the lease is still held.
  [[nodiscard]] bool MayTakeEffect(time_point sent_at, time_point now) const;

  /// True when no order of the previous holder can still be in progress,
  /// provided that it used the same parameters.
  [[nodiscard]] bool PreviousOrdersExpired(time_point now) const;

  /// Fencing token that orders under this lease carry.
  [[nodiscard]] int64_t fence() const { return view_.record.fence; }
  [[nodiscard]] const lease_view& view() const { return view_; }
  /// When this process acquired the lease that it has held without interruption
  /// since; empty when it does not hold it.
  [[nodiscard]] std::optional<time_point> acquired_at() const {
    return acquired_at_;
  }
  /// False until the row has been read once.
  [[nodiscard]] bool row_read() const { return row_read_; }
  [[nodiscard]] bool writing() const { return writing_.has_value(); }
  [[nodiscard]] const std::string& pool_name() const { return pool_name_; }

 private:
  void MarkNotHeld();
  void UpdateView(int64_t version, const lease_record& record, time_point now);
  [[nodiscard]] bool IsOwn(const lease_record& record) const;
  /// Whether a lease that this process holds has not ended by its clock.
  [[nodiscard]] bool IsRunning(time_point now) const;

  std::string pool_name_;
  lease_member self_;
  lease_parameters parameters_;
  lease_view view_;
  bool row_read_ = false;
  std::optional<lease_view> writing_;
  // When the earliest write with a still unknown outcome was sent. If the row
  // turns out to be this process's own, any of these writes may have produced
  // it.
  std::optional<time_point> unconfirmed_since_;
  // When the write that established or last renewed the held lease was sent.
  std::optional<time_point> renewal_sent_at_;
  std::optional<time_point> acquired_at_;
};

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_CONTROL_SKYLARKCROFT_POOL_LEASE_H_
