#ifndef SKYLARKCROFT_CONTROL_SKYLARKCROFT_LEASE_DECISION_H_
#define SKYLARKCROFT_CONTROL_SKYLARKCROFT_LEASE_DECISION_H_

#include <cstddef>
#include <cstdint>

#include "skylarkcroft/control/skylarkcroft_lease_record.h"
#include "skylarkcroft/internal/skylarkcroft_time.h"

namespace skylarkcroft {

/// Times and sizes of the lease protocol.
struct lease_parameters {
  /// Duration of a lease, counted from when its last renewal was sent.
  milliseconds lease_time{10000};
  milliseconds renew_period{3000};
  /// Longest time from sending an order to its last effect. A holder does not
  /// start an order when less than this remains of its lease.
  milliseconds order_timeout{2000};
  /// Extra wait before another member takes the lease over, because clocks run
  /// at different speeds.
  milliseconds takeover_margin{1000};
  /// Number of members, in rendezvous order, that watch a lease.
  size_t watcher_count = 3;

  bool operator==(const lease_parameters&) const = default;
};

/// The stored row of a lease as this process last read or wrote it. `version` 0
/// means that there is no row. `first_seen_at` is when this process first saw
/// this version.
struct lease_view {
  int64_t version = 0;
  lease_record record;
  time_point first_seen_at{};
  /// There is no row because the store came back from an older copy. `record`
  /// is what this process knew before; its holder, or one that this process
  /// does not know of, may still act.
  bool row_lost = false;
  /// New fencing tokens are greater than this.
  int64_t fence_floor = 0;

  bool operator==(const lease_view&) const = default;
};

/// Next step of a member for a lease.
enum class lease_step {
  kWait,      ///< Do nothing for now; check again later.
  kAcquire,   ///< Create the row with a new fence.
  kRenew,     ///< Rewrite the row as its holder.
  kTakeOver,  ///< Replace the holder and increase the fence in one write.
  kRelease,   ///< Mark the lease as released; others should hold it.
  kIgnore,    ///< Not among the members that watch the lease.
};

/// Returns the next step of `self`, which is at `position` (from 0) in the
/// rendezvous order of the pool. Each later position waits one more lease time
/// before it takes over, so that members do not compete for the row.
lease_step DecideLease(const lease_view& view, const lease_member& self,
                       size_t position, const lease_parameters& parameters,
                       time_point now);

/// The record to write for `step`, given the current `view`.
lease_record RecordFor(lease_step step, const lease_view& view,
                       const lease_member& self,
                       const lease_parameters& parameters);

/// Time before which the holder may start an order, when its last renewal was
/// sent at `sent_at`.
time_point OrderStartDeadline(time_point sent_at,
                              const lease_parameters& parameters);

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_CONTROL_SKYLARKCROFT_LEASE_DECISION_H_
