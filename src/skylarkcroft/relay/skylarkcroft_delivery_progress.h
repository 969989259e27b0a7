#ifndef SKYLARKCROFT_RELAY_SKYLARKCROFT_DELIVERY_PROGRESS_H_
#define SKYLARKCROFT_RELAY_SKYLARKCROFT_DELIVERY_PROGRESS_H_

#include <cstddef>

#include "skylarkcroft/internal/skylarkcroft_time.h"

namespace skylarkcroft {

/// Watches how the bytes that wait for a client become fewer.
class delivery_progress {
 public:
  /// Starts at `now`, when an answer was written.
  void Restart(time_point now) {
    undelivered_ = 0;
    changed_at_ = now;
  }
  /// Returns for how long the number of undelivered bytes has not changed.
  duration Observe(size_t undelivered, time_point now) {
    if (undelivered != undelivered_) {
      undelivered_ = undelivered;
      changed_at_ = now;
    }
    return now - changed_at_;
  }

 private:
  size_t undelivered_ = 0;
  time_point changed_at_{};
};

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_RELAY_SKYLARKCROFT_DELIVERY_PROGRESS_H_
