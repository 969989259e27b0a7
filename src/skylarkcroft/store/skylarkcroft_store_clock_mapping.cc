#include "skylarkcroft/store/skylarkcroft_store_clock_mapping.h"

#include <algorithm>

namespace skylarkcroft {
namespace {

// Longest delay assumed for a response on its way to this process. A store
// clock that is further ahead than that belongs to another store process.
constexpr milliseconds kMaxResponseDelay{1000};
// Calls wait at the store for far less than this. An apparent wait beyond it
// means that another store clock, ahead of the former one, gave the response.
constexpr milliseconds kMaxWaitAtStore{15000};

}  // namespace

time_point store_clock_mapping::EarliestResponseTime(
    time_point sent_at, std::optional<milliseconds> store_clock,
    time_point received_at) {
  if (!store_clock.has_value()) {
    return sent_at;
  }
  const duration offset = sent_at.time_since_epoch() - *store_clock;
  const bool is_other_clock = *store_clock < last_store_clock_ ||
                              (offset_lower_bound_.has_value() &&
                               *offset_lower_bound_ - offset > kMaxWaitAtStore);
  if (is_other_clock) {
    offset_lower_bound_.reset();
  }
  last_store_clock_ = *store_clock;
  last_received_at_ = received_at;
  offset_lower_bound_ = std::max(offset_lower_bound_.value_or(offset), offset);
  const time_point responded_at(*store_clock + *offset_lower_bound_);
  return std::clamp(responded_at, sent_at, std::max(sent_at, received_at));
}

std::optional<time_point> store_clock_mapping::ToLocalTime(
    milliseconds store_clock, time_point now) const {
  const bool is_other_clock = !offset_lower_bound_.has_value() ||
                              store_clock - last_store_clock_ >
                                  now - last_received_at_ + kMaxResponseDelay;
  if (is_other_clock) {
    return std::nullopt;
  }
  return std::min(now, time_point(store_clock + *offset_lower_bound_));
}

}  // namespace skylarkcroft
