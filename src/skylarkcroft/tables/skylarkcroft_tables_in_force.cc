#include "skylarkcroft/tables/skylarkcroft_tables_in_force.h"

#include <algorithm>
#include <utility>

namespace skylarkcroft {

tables_in_force::tables_in_force() : current_(std::make_shared<table_set>()) {}

bool tables_in_force::Adopt(const table_set_ptr& candidate,
                            time_point queried_at) {
  if (candidate->revision <= current_->revision) {
    return false;
  }
  current_ = candidate;
  RecordNewestRevision(current_->revision, queried_at);
  for (const listener_fn& listener : listeners_) {
    listener(current_);
  }
  return true;
}

void tables_in_force::RecordKnownRevision(int64_t revision) {
  newest_known_ = std::max(newest_known_, revision);
}

void tables_in_force::RecordNewestRevision(int64_t revision,
                                           time_point queried_at) {
  RecordKnownRevision(revision);
  if (revision != current_->revision || revision != newest_known_) {
    return;
  }
  confirmed_at_ = std::max(confirmed_at_.value_or(queried_at), queried_at);
}

bool tables_in_force::MayServe(time_point now, duration staleness_bound) const {
  return current_->revision > 0 && confirmed_at_.has_value() &&
         now - *confirmed_at_ <= staleness_bound;
}

void tables_in_force::OnChange(listener_fn callback) {
  listeners_.push_back(std::move(callback));
}

}  // namespace skylarkcroft
