#include "skylarkcroft/control/skylarkcroft_pool_lease.h"

#include <algorithm>
#include <utility>

namespace skylarkcroft {

pool_lease::pool_lease(std::string pool_name, lease_member self,
                       lease_parameters parameters)
    : pool_name_(std::move(pool_name)),
      self_(std::move(self)),
      parameters_(parameters) {}

void pool_lease::OnRowRead(const read_result& read, time_point now) {
  if (read.outcome == read_outcome::kUnavailable) {
    return;
  }
  if (read.outcome == read_outcome::kMissing) {
    // Keep the last fence, so that it is not issued again.
    lease_record missing;
    missing.fence = view_.record.fence;
    UpdateView(0, missing, now);
    return;
  }
  const std::optional<lease_record> record = DecodeLease(read.row.document);
  // A row that is not a valid lease is not overwritten; an operator must repair
  // it.
  if (!record) {
    return;
  }
  UpdateView(read.row.version, *record, now);
}

void pool_lease::OnStoreRestored(int64_t fence_floor, time_point now) {
  lease_record known = view_.record;
  if (!IsRunning(now)) {
    MarkNotHeld();
    known.holder = {};
    known.released = false;
  }
  row_read_ = true;
  // A write that is in progress went to the row of before.
  writing_.reset();
  view_ = {0, known, now, true, std::max(view_.fence_floor, fence_floor)};
}

bool pool_lease::IsOwn(const lease_record& record) const {
  return record.holder == self_ && !record.released;
}

void pool_lease::MarkNotHeld() {
  renewal_sent_at_.reset();
  unconfirmed_since_.reset();
  acquired_at_.reset();
}

void pool_lease::UpdateView(int64_t version, const lease_record& record,
                            time_point now) {
  const bool changed = !row_read_ || version != view_.version;
  row_read_ = true;
  if (!changed) {
    return;
  }
  view_ = {version, record, now, false,
           std::max(view_.fence_floor, record.fence)};
  if (version == 0 || !IsOwn(record)) {
    MarkNotHeld();
    return;
  }
  if (!acquired_at_) {
    acquired_at_ = now;
  }
  if (unconfirmed_since_) {
    renewal_sent_at_ = unconfirmed_since_;
    view_.first_seen_at = *unconfirmed_since_;
    unconfirmed_since_.reset();
  }
}

lease_step pool_lease::NextStep(size_t position, time_point now) const {
  if (!row_read_ || writing_) {
    return lease_step::kWait;
  }
  return DecideLease(view_, self_, position, parameters_, now);
}

row_write pool_lease::BeginWrite(lease_step step, time_point now) {
  const lease_record record = RecordFor(step, view_, self_, parameters_);
  writing_ = lease_view{view_.version + 1, record, now};
  if (step == lease_step::kRelease) {
    MarkNotHeld();
  } else if (!unconfirmed_since_) {
    unconfirmed_since_ = now;
  }
  row_write write;
  write.row = {LeaseKey(pool_name_), writing_->version, EncodeLease(record)};
  write.expected_version = view_.version;
  return write;
}

bool pool_lease::EndWrite(row_outcome outcome, time_point now) {
  const std::optional<lease_view> written = std::exchange(writing_, {});
  if (!written.has_value()) {
    // The row was lost meanwhile.
    return true;
  }
  switch (outcome) {
    case row_outcome::kCommitted:
      UpdateView(written->version, written->record, now);
      return false;
    case row_outcome::kRejected:
      return false;
    case row_outcome::kConflict:
    case row_outcome::kUnknown:
      return true;
  }
  return true;
}

bool pool_lease::IsRunning(time_point now) const {
  return renewal_sent_at_ && now < *renewal_sent_at_ + parameters_.lease_time;
}

bool pool_lease::MayAct(time_point now) const {
  return renewal_sent_at_ &&
         now < OrderStartDeadline(*renewal_sent_at_, parameters_);
}

bool pool_lease::MayTakeEffect(time_point sent_at, time_point now) const {
  return now < sent_at + parameters_.order_timeout && IsRunning(now);
}

bool pool_lease::PreviousOrdersExpired(time_point now) const {
  return acquired_at_ && now >= *acquired_at_ + parameters_.order_timeout;
}

}  // namespace skylarkcroft
