#include "skylarkcroft/control/skylarkcroft_lease_decision.h"

#include <algorithm>

namespace skylarkcroft {
namespace {

milliseconds Patience(const lease_view& view, size_t place,
                      const lease_terms& terms) {
  const milliseconds turn =
      terms.lease_time * static_cast<milliseconds::rep>(place);
  if (view.version == 0 || view.record.released) {
    return turn;
  }
  const milliseconds stated(view.record.lease_time_ms);
  return std::max(terms.lease_time, stated) + terms.takeover_margin + turn;
}

}  // namespace

lease_step DecideLease(const lease_view& view, const lease_member& self,
                       size_t place, const lease_terms& terms, time_point now) {
  const bool own =
      view.version > 0 && !view.record.released && view.record.holder == self;
  if (own) {
    if (place >= terms.watchers) {
      return lease_step::kRelease;
    }
    return now >= view.seen_at + terms.renew_period ? lease_step::kRenew
                                                    : lease_step::kWait;
  }
  if (place >= terms.watchers) {
    return lease_step::kIgnore;
  }
  if (now < view.seen_at + Patience(view, place, terms)) {
    return lease_step::kWait;
  }
  return view.version == 0 ? lease_step::kAcquire : lease_step::kTakeOver;
}

lease_record RecordFor(lease_step step, const lease_view& view,
                       const lease_member& self, const lease_terms& terms) {
  lease_record record = view.record;
  record.lease_time_ms = terms.lease_time.count();
  if (step == lease_step::kAcquire || step == lease_step::kTakeOver) {
    record.holder = self;
    record.fence = view.record.fence + 1;
    record.released = false;
  }
  if (step == lease_step::kRelease) {
    record.released = true;
  }
  return record;
}

time_point ActUntil(time_point sent_at, const lease_terms& terms) {
  return sent_at + terms.lease_time - terms.order_flight;
}

}  // namespace skylarkcroft
