#include "skylarkcroft/placement/skylarkcroft_service_pace.h"

#include <algorithm>

namespace skylarkcroft {
namespace {

constexpr milliseconds kDefaultTime{1000};
// Fewer ended requests than this make no mean.
constexpr double kLeastEnded = 1;

}  // namespace

void service_pace::Advance(time_point now) {
  const double elapsed =
      std::chrono::duration<double, std::milli>(now - counted_until_).count();
  if (running_ > 0) {
    busy_ms_.Add(running_ * elapsed, now);
  }
  counted_until_ = now;
}

void service_pace::NoteSent(int64_t unread_tokens, time_point now) {
  Advance(now);
  ++running_;
  sent_.Add(1, now);
  unread_.Add(static_cast<double>(unread_tokens), now);
}

void service_pace::NoteEnded(time_point now) {
  Advance(now);
  running_ = std::max(0, running_ - 1);
  ended_.Add(1, now);
}

milliseconds service_pace::MeanTime(time_point now) const {
  const double ended = ended_.Value(now);
  if (ended < kLeastEnded) {
    return kDefaultTime;
  }
  return milliseconds(std::max<milliseconds::rep>(
      1, static_cast<milliseconds::rep>(busy_ms_.Value(now) / ended)));
}

double service_pace::MeanUnread(double fallback, time_point now) const {
  const double sent = sent_.Value(now);
  return sent < kLeastEnded ? fallback : unread_.Value(now) / sent;
}

}  // namespace skylarkcroft
