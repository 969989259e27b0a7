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

/// What this process knows of the lease of one pool, and whether it may act
/// under it. Does no input or output: the owner reads and writes the row and
/// says what came of it.
class pool_lease {
 public:
  pool_lease(std::string pool_name, lease_member self, lease_terms parameters);

  /// Notes what was read. A read that was sent before the last write ended is
  /// no news and must not be given.
  void OnRead(const read_result& read, time_point now);

  [[nodiscard]] lease_step Next(size_t position, time_point now) const;
  /// The write that carries out `step`; the lease counts as being written from
  /// `now` on.
  row_write BeginWrite(lease_step step, time_point now);
  /// True when the row has to be read back to learn what came of the write.
  [[nodiscard]] bool EndWrite(row_outcome outcome, time_point now);

  /// True when an order may be started at `now`. Decided by this process's
  /// clock alone, so it is right also after the process was stopped.
  [[nodiscard]] bool MayAct(time_point now) const;
  /// True when an order sent at `sent_at` may still be going on at `now`.
  [[nodiscard]] bool MayTakeEffect(time_point sent_at, time_point now) const;

  /// True when nothing that the holder before sent, by the same terms, can
  /// still be under way.
  [[nodiscard]] bool FlightsEnded(time_point now) const;

  /// Number that orders under this lease carry.
  [[nodiscard]] int64_t fence() const { return view_.record.fence; }
  [[nodiscard]] const lease_view& view() const { return view_; }
  /// When this process began to hold the lease without a break; empty when it
  /// does not hold it.
  [[nodiscard]] std::optional<time_point> acquired_at() const {
    return acquired_at_;
  }
  /// False until the row was read once.
  [[nodiscard]] bool row_read() const { return row_read_; }
  [[nodiscard]] bool writing() const { return writing_.has_value(); }
  [[nodiscard]] const std::string& pool_name() const { return pool_name_; }

 private:
  void MarkNotHeld();
  void UpdateView(int64_t version, const lease_record& record, time_point now);
  [[nodiscard]] bool IsOwn(const lease_record& record) const;

  std::string pool_name_;
  lease_member self_;
  lease_terms parameters_;
  lease_view view_;
  bool row_read_ = false;
  std::optional<lease_view> writing_;
  // Earliest sending of a write whose outcome is not settled. A row that turns
  // out to be this process's own may stem from any of them.
  std::optional<time_point> unconfirmed_since_;
  // When the write of the lease that is held was sent.
  std::optional<time_point> renewal_sent_at_;
  std::optional<time_point> acquired_at_;
};

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_CONTROL_SKYLARKCROFT_POOL_LEASE_H_
