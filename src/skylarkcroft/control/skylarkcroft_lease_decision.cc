#include "skylarkcroft/control/skylarkcroft_lease_decision.h"

#include <algorithm>

namespace skylarkcroft {
namespace {

milliseconds TakeoverDelay(const lease_view& view, size_t position,
                           const lease_parameters& parameters) {
  const milliseconds stagger =
      parameters.lease_time * static_cast<milliseconds::rep>(position);
  const bool is_free =
      (view.version == 0 && !view.row_lost) || view.record.released;
  if (is_free) {
    return stagger;
  }
  const milliseconds holder_lease_time(view.record.lease_time_ms);
  return std::max(parameters.lease_time, holder_lease_time) +
         parameters.takeover_margin + stagger;
}

}  // namespace

lease_step DecideLease(const lease_view& view, const lease_member& self,
                       size_t position, const lease_parameters& parameters,
                       time_point now) {
  const bool row_known = view.version > 0 || view.row_lost;
  const bool held_by_self =
      row_known && !view.record.released && view.record.holder == self;
  if (held_by_self) {
    if (position >= parameters.watcher_count) {
      return lease_step::kRelease;
    }
    if (view.row_lost) {
      return lease_step::kAcquire;
    }
    return now >= view.first_seen_at + parameters.renew_period
               ? lease_step::kRenew
               : lease_step::kWait;
  }
  if (position >= parameters.watcher_count) {
    return lease_step::kIgnore;
  }
  if (now < view.first_seen_at + TakeoverDelay(view, position, parameters)) {
    return lease_step::kWait;
  }
  return view.version == 0 ? lease_step::kAcquire : lease_step::kTakeOver;
}

lease_record RecordFor(lease_step step, const lease_view& view,
                       const lease_member& self,
                       const lease_parameters& parameters) {
  lease_record record = view.record;
  record.lease_time_ms = parameters.lease_time.count();
  if (step == lease_step::kAcquire || step == lease_step::kTakeOver) {
    record.holder = self;
    record.fence = std::max(view.record.fence, view.fence_floor) + 1;
    record.released = false;
  }
  if (step == lease_step::kRelease) {
    record.released = true;
  }
  return record;
}

time_point OrderStartDeadline(time_point sent_at,
                              const lease_parameters& parameters) {
  return sent_at + parameters.lease_time - parameters.order_timeout;
}

}  // namespace skylarkcroft
