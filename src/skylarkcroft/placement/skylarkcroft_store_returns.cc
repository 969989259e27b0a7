#include "skylarkcroft/placement/skylarkcroft_store_returns.h"

namespace skylarkcroft {

void store_returns::OnContact(bool reachable, bool has_entries,
                              time_point now) {
  if (reachable && !reachable_ && has_entries) {
    reachable_since_ = now;
  }
  reachable_ = reachable;
}

void store_returns::OnRestored(time_point now) {
  reachable_since_ = now;
  uptime_.OnRestored(now);
}

std::optional<time_point> store_returns::ReturnedAt() const {
  const std::optional<time_point>& up_since = uptime_.up_since();
  const bool returned_before = reachable_since_.has_value() &&
                               up_since.has_value() &&
                               *up_since < *reachable_since_;
  return returned_before ? up_since : reachable_since_;
}

bool store_returns::MayHaveLapsed(time_point now) const {
  const std::optional<time_point> returned_at = ReturnedAt();
  return !reachable_ ||
         (returned_at.has_value() && now - *returned_at < grace_);
}

time_point store_returns::GraceEnd(time_point removed_at, bool drains) const {
  // Upstreams register again within a time after the return of the store, not
  // after their removal.
  const std::optional<time_point> returned_at = ReturnedAt();
  const bool after_return = !drains && reachable_ && returned_at.has_value() &&
                            *returned_at <= removed_at;
  return (after_return ? *returned_at : removed_at) + grace_;
}

}  // namespace skylarkcroft
