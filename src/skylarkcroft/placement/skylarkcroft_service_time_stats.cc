#include "skylarkcroft/placement/skylarkcroft_service_time_stats.h"

#include <algorithm>

namespace skylarkcroft {
namespace {

constexpr milliseconds kDefaultServiceTime{1000};
// Below this decayed count of requests no mean is computed.
constexpr double kMinRequests = 1;

}  // namespace

void service_time_stats::Advance(time_point now) {
  const double elapsed =
      std::chrono::duration<double, std::milli>(now - updated_at_).count();
  if (in_flight_ > 0) {
    in_flight_ms_.Add(in_flight_ * elapsed, now);
  }
  updated_at_ = now;
}

void service_time_stats::RecordSent(int64_t prefill_tokens, time_point now) {
  Advance(now);
  ++in_flight_;
  sent_.Add(1, now);
  prefill_tokens_.Add(static_cast<double>(prefill_tokens), now);
}

void service_time_stats::RecordEnded(time_point now) {
  Advance(now);
  in_flight_ = std::max(0, in_flight_ - 1);
  ended_.Add(1, now);
}

milliseconds service_time_stats::MeanServiceTime(time_point now) const {
  const double ended = ended_.Value(now);
  if (ended < kMinRequests) {
    return kDefaultServiceTime;
  }
  return milliseconds(std::max<milliseconds::rep>(
      1, static_cast<milliseconds::rep>(in_flight_ms_.Value(now) / ended)));
}

double service_time_stats::MeanPrefillTokens(double fallback,
                                             time_point now) const {
  const double sent = sent_.Value(now);
  return sent < kMinRequests ? fallback : prefill_tokens_.Value(now) / sent;
}

}  // namespace skylarkcroft
