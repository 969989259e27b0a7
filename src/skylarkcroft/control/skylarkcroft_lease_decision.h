#ifndef SKYLARKCROFT_CONTROL_SKYLARKCROFT_LEASE_DECISION_H_
#define SKYLARKCROFT_CONTROL_SKYLARKCROFT_LEASE_DECISION_H_

#include <cstddef>
#include <cstdint>

#include "skylarkcroft/control/skylarkcroft_lease_record.h"
#include "skylarkcroft/internal/skylarkcroft_time.h"

namespace skylarkcroft {

/// Times of the lease protocol.
struct lease_terms {
  /// Time a lease lasts from the moment its renewal was sent.
  milliseconds lease_time{10000};
  milliseconds renew_period{3000};
  /// Longest time from sending an order to its last effect; a holder starts
  /// none when less is left.
  milliseconds order_flight{2000};
  /// Added by a waiter, for clocks that run at different speeds.
  milliseconds takeover_margin{1000};
  /// How many members, in rendezvous order, keep an eye on a lease.
  size_t watchers = 3;

  bool operator==(const lease_terms&) const = default;
};

/// The row of a lease as this process last read or wrote it. `version` 0 means
/// that there is no row. `first_seen_at` is when this version was first seen.
struct lease_view {
  int64_t version = 0;
  lease_record record;
  time_point first_seen_at{};

  bool operator==(const lease_view&) const = default;
};

/// What a member does about a lease.
enum class lease_step {
  kWait,      ///< Nothing now; look again later.
  kAcquire,   ///< Create the row with the first fence.
  kRenew,     ///< Write the row again as its holder.
  kTakeOver,  ///< Replace the holder and raise the fence, in one write.
  kRelease,   ///< Give the lease back; it belongs on other members.
  kIgnore,    ///< Too far down the order to watch it.
};

/// Decides for `self`, at `position` (from 0) of the rendezvous order of the
/// pool. Members further down wait a lease time longer each, so that they do
/// not race for the row.
lease_step DecideLease(const lease_view& view, const lease_member& self,
                       size_t position, const lease_terms& parameters,
                       time_point now);

/// The record that carries out `step` on `view`.
lease_record RecordFor(lease_step step, const lease_view& view,
                       const lease_member& self, const lease_terms& parameters);

/// Last instant before which the holder may start an order, for a renewal that
/// was sent at `sent_at`.
time_point OrderStartDeadline(time_point sent_at,
                              const lease_terms& parameters);

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_CONTROL_SKYLARKCROFT_LEASE_DECISION_H_
