#include "skylarkcroft/control/skylarkcroft_pool_lease.h"

#include <utility>

namespace skylarkcroft {

pool_lease::pool_lease(std::string pool_name, lease_member self,
                       lease_terms terms)
    : pool_name_(std::move(pool_name)), self_(std::move(self)), terms_(terms) {}

void pool_lease::OnRead(const read_result& read, time_point now) {
  if (read.outcome == read_outcome::kUnavailable) {
    return;
  }
  if (read.outcome == read_outcome::kMissing) {
    // A fence that was given out is never given out again.
    lease_record none;
    none.fence = view_.record.fence;
    See(0, none, now);
    return;
  }
  const std::optional<lease_record> record = DecodeLease(read.row.document);
  // A row that is no lease is left to be repaired by hand.
  if (!record) {
    return;
  }
  See(read.row.version, *record, now);
}

bool pool_lease::IsOwn(const lease_record& record) const {
  return record.holder == self_ && !record.released;
}

void pool_lease::Lose() {
  held_since_.reset();
  unsettled_since_.reset();
  acquired_at_.reset();
}

void pool_lease::See(int64_t version, const lease_record& record,
                     time_point now) {
  const bool changed = !known_ || version != view_.version;
  known_ = true;
  if (!changed) {
    return;
  }
  view_ = {version, record, now};
  if (version == 0 || !IsOwn(record)) {
    Lose();
    return;
  }
  if (!acquired_at_) {
    acquired_at_ = now;
  }
  if (unsettled_since_) {
    held_since_ = unsettled_since_;
    view_.seen_at = *unsettled_since_;
    unsettled_since_.reset();
  }
}

lease_step pool_lease::Next(size_t place, time_point now) const {
  if (!known_ || writing_) {
    return lease_step::kWait;
  }
  return DecideLease(view_, self_, place, terms_, now);
}

row_write pool_lease::BeginWrite(lease_step step, time_point now) {
  const lease_record record = RecordFor(step, view_, self_, terms_);
  writing_ = lease_view{view_.version + 1, record, now};
  if (step == lease_step::kRelease) {
    Lose();
  } else if (!unsettled_since_) {
    unsettled_since_ = now;
  }
  row_write write;
  write.row = {LeaseKey(pool_name_), writing_->version, EncodeLease(record)};
  write.expected_version = view_.version;
  return write;
}

bool pool_lease::EndWrite(row_outcome outcome, time_point now) {
  const std::optional<lease_view> written = std::exchange(writing_, {});
  switch (outcome) {
    case row_outcome::kCommitted:
      See(written->version, written->record, now);
      return false;
    case row_outcome::kRejected:
      return false;
    case row_outcome::kConflict:
    case row_outcome::kUnknown:
      return true;
  }
  return true;
}

bool pool_lease::MayAct(time_point now) const {
  return held_since_ && now < ActUntil(*held_since_, terms_);
}

bool pool_lease::MayGoOn(time_point sent_at, time_point now) const {
  return held_since_ && now < sent_at + terms_.order_flight &&
         now < *held_since_ + terms_.lease_time;
}

bool pool_lease::FlightsEnded(time_point now) const {
  return acquired_at_ && now >= *acquired_at_ + terms_.order_flight;
}

}  // namespace skylarkcroft
