#include "skylarkcroft/tables/skylarkcroft_active_tables.h"

#include <algorithm>
#include <utility>

namespace skylarkcroft {

active_tables::active_tables() : current_(std::make_shared<table_set>()) {}

bool active_tables::Adopt(const table_set_ptr& candidate,
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

void active_tables::RecordKnownRevision(int64_t revision) {
  newest_known_ = std::max(newest_known_, revision);
}

void active_tables::RecordNewestRevision(int64_t revision,
                                         time_point queried_at) {
  RecordKnownRevision(revision);
  if (revision != current_->revision || revision != newest_known_) {
    return;
  }
  confirmed_at_ = std::max(confirmed_at_.value_or(queried_at), queried_at);
}

bool active_tables::MayServe(time_point now, duration staleness_bound) const {
  return current_->revision > 0 && confirmed_at_.has_value() &&
         now - *confirmed_at_ <= staleness_bound;
}

void active_tables::AddListener(listener_fn callback) {
  listeners_.push_back(std::move(callback));
}

}  // namespace skylarkcroft
