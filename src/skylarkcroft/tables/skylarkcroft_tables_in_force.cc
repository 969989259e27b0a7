#include "skylarkcroft/tables/skylarkcroft_tables_in_force.h"

#include <algorithm>
#include <utility>

namespace skylarkcroft {

tables_in_force::tables_in_force() : current_(std::make_shared<table_set>()) {}

bool tables_in_force::Adopt(const table_set_ptr& candidate,
                            time_point asked_at) {
  if (candidate->revision <= current_->revision) {
    return false;
  }
  current_ = candidate;
  NoteLatest(current_->revision, asked_at);
  for (const change_fn& listener : listeners_) {
    listener(current_);
  }
  return true;
}

void tables_in_force::NoteExists(int64_t revision) {
  newest_ = std::max(newest_, revision);
}

void tables_in_force::NoteLatest(int64_t revision, time_point asked_at) {
  NoteExists(revision);
  if (revision != current_->revision || revision != newest_) {
    return;
  }
  confirmed_at_ = std::max(confirmed_at_.value_or(asked_at), asked_at);
}

bool tables_in_force::MayServe(time_point now, duration staleness_bound) const {
  return current_->revision > 0 && confirmed_at_.has_value() &&
         now - *confirmed_at_ <= staleness_bound;
}

void tables_in_force::OnChange(change_fn call) {
  listeners_.push_back(std::move(call));
}

}  // namespace skylarkcroft
