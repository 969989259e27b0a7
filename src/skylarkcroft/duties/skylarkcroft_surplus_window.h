#ifndef SKYLARKCROFT_DUTIES_SKYLARKCROFT_SURPLUS_WINDOW_H_
#define SKYLARKCROFT_DUTIES_SKYLARKCROFT_SURPLUS_WINDOW_H_

#include <deque>

#include "skylarkcroft/internal/skylarkcroft_time.h"

namespace skylarkcroft {

/// Finds by how much a count has exceeded its need throughout a time span, so
/// that a short lull of demand is not taken for a surplus.
class surplus_window {
 public:
  /// Records the present surplus; a negative one means that some are missing.
  /// Returns the least surplus of the last `span`, or 0 until it is known for
  /// that long.
  int Record(int surplus, milliseconds span, time_point now);

 private:
  struct sample {
    time_point at{};
    int surplus = 0;
  };

  std::deque<sample> samples_;
};

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_DUTIES_SKYLARKCROFT_SURPLUS_WINDOW_H_
