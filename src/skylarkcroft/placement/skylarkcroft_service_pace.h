#ifndef SKYLARKCROFT_PLACEMENT_SKYLARKCROFT_SERVICE_PACE_H_
#define SKYLARKCROFT_PLACEMENT_SKYLARKCROFT_SERVICE_PACE_H_

#include "skylarkcroft/internal/skylarkcroft_time.h"
#include "skylarkcroft/placement/skylarkcroft_decaying_sum.h"

namespace skylarkcroft {

/// How long this node's requests to one service are at work, and how much they
/// have to be read, as recent means.
class service_pace {
 public:
  void NoteSent(int64_t unread_tokens, time_point now);
  void NoteEnded(time_point now);

  /// Mean time at work, by Little's law; a default before any request ended.
  [[nodiscard]] milliseconds MeanTime(time_point now) const;
  /// Mean of the unread tokens of a request; `fallback` before any was sent.
  [[nodiscard]] double MeanUnread(double fallback, time_point now) const;

 private:
  static constexpr milliseconds kHalfLife{5000};

  void Advance(time_point now);

  int running_ = 0;
  time_point counted_until_{};
  /// Milliseconds of requests at work.
  decaying_sum busy_ms_{kHalfLife};
  decaying_sum ended_{kHalfLife};
  decaying_sum sent_{kHalfLife};
  decaying_sum unread_{kHalfLife};
};

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_PLACEMENT_SKYLARKCROFT_SERVICE_PACE_H_
