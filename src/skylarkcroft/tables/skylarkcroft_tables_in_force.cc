#include "skylarkcroft/tables/skylarkcroft_tables_in_force.h"

#include <utility>

namespace skylarkcroft {

tables_in_force::tables_in_force() : current_(std::make_shared<table_set>()) {}

bool tables_in_force::Adopt(const table_set_ptr& candidate, time_point now) {
  if (candidate->revision <= current_->revision) {
    return false;
  }
  current_ = candidate;
  confirmed_at_ = now;
  for (const change_fn& listener : listeners_) {
    listener(current_);
  }
  return true;
}

void tables_in_force::NoteLatest(int64_t revision, time_point now) {
  if (revision == current_->revision) {
    confirmed_at_ = now;
  }
}

bool tables_in_force::MayServe(time_point now, duration staleness_bound) const {
  return current_->revision > 0 && confirmed_at_.has_value() &&
         now - *confirmed_at_ <= staleness_bound;
}

void tables_in_force::OnChange(change_fn call) {
  listeners_.push_back(std::move(call));
}

}  // namespace skylarkcroft
