#ifndef SKYLARKCROFT_PLACEMENT_SKYLARKCROFT_SERVICE_TIME_STATS_H_
#define SKYLARKCROFT_PLACEMENT_SKYLARKCROFT_SERVICE_TIME_STATS_H_

#include "skylarkcroft/internal/skylarkcroft_time.h"
#include "skylarkcroft/placement/skylarkcroft_decaying_sum.h"

namespace skylarkcroft {

/// Recent means, over this node's requests to one service, of the service time
/// and of the prompt tokens to prefill. Older requests decay with kHalfLife.
class service_time_stats {
 public:
  void RecordSent(int64_t prefill_tokens, time_point now);
  void RecordEnded(time_point now);

  /// Mean time that a request is in flight, by Little's law; 1000 ms before any
  /// request has ended.
  [[nodiscard]] milliseconds MeanServiceTime(time_point now) const;
  /// Mean number of tokens to prefill per request; `fallback` before any
  /// request was sent.
  [[nodiscard]] double MeanPrefillTokens(double fallback, time_point now) const;

 private:
  static constexpr milliseconds kHalfLife{5000};

  /// Adds the in-flight time since the previous event.
  void Advance(time_point now);

  int in_flight_ = 0;
  time_point updated_at_{};
  /// Sum of in-flight time over all requests, in request-milliseconds.
  decaying_sum in_flight_ms_{kHalfLife};
  decaying_sum ended_{kHalfLife};
  decaying_sum sent_{kHalfLife};
  decaying_sum prefill_tokens_{kHalfLife};
};

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_PLACEMENT_SKYLARKCROFT_SERVICE_TIME_STATS_H_
