#include "skylarkcroft/store/skylarkcroft_answer_time.h"

#include <algorithm>

namespace skylarkcroft {
namespace {

// Answers may be this late; a clock that is further ahead is another one.
constexpr milliseconds kLongestAnswerDelay{1000};
// Calls wait at the store for far less; one that seems to have waited for
// longer was answered by a clock that is ahead of the former.
constexpr milliseconds kLongestWait{15000};

}  // namespace

time_point answer_time::EarliestAnswer(time_point sent_at,
                                       std::optional<milliseconds> store_clock,
                                       time_point received_at) {
  if (!store_clock.has_value()) {
    return sent_at;
  }
  const duration offset = sent_at.time_since_epoch() - *store_clock;
  const bool other_clock =
      *store_clock < last_store_clock_ ||
      (least_offset_.has_value() && *least_offset_ - offset > kLongestWait);
  if (other_clock) {
    least_offset_.reset();
  }
  last_store_clock_ = *store_clock;
  last_received_ = received_at;
  least_offset_ = std::max(least_offset_.value_or(offset), offset);
  const time_point given(*store_clock + *least_offset_);
  return std::clamp(given, sent_at, std::max(sent_at, received_at));
}

std::optional<time_point> answer_time::OnOwnClock(milliseconds store_clock,
                                                  time_point now) const {
  const bool other_clock = !least_offset_.has_value() ||
                           store_clock - last_store_clock_ >
                               now - last_received_ + kLongestAnswerDelay;
  if (other_clock) {
    return std::nullopt;
  }
  return std::min(now, time_point(store_clock + *least_offset_));
}

}  // namespace skylarkcroft
