#ifndef SKYLARKCROFT_PLACEMENT_SKYLARKCROFT_SPEED_SAMPLES_H_
#define SKYLARKCROFT_PLACEMENT_SKYLARKCROFT_SPEED_SAMPLES_H_

#include <deque>
#include <vector>

#include "skylarkcroft/internal/skylarkcroft_time.h"

namespace skylarkcroft {

/// One measurement: how long an engine took, and its load meanwhile.
struct speed_sample {
  double load = 0;      ///< BatchLoad() of the engine.
  double log_time = 0;  ///< log2 of the time, in any fixed unit.

  bool operator==(const speed_sample&) const = default;
};

/// Logarithm of the factor by which a batch of `running` requests slows each of
/// its streams, by the engines' data sheets: a stream in a full batch of
/// `slots` requests advances at half the speed of one alone.
double BatchLoad(int running, int slots);

/// The measurements of one engine, as means over short windows. A window counts
/// once however many samples it has, so that a transient slowdown weighs by its
/// duration and not by the number of requests that it meets.
class speed_samples {
 public:
  void Add(const speed_sample& sample, time_point now);
  /// Means of the recent windows.
  [[nodiscard]] std::vector<speed_sample> Recent(time_point now) const;

 private:
  struct window {
    time_point started_at{};
    speed_sample sum;
    int count = 0;
  };

  std::deque<window> windows_;
};

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_PLACEMENT_SKYLARKCROFT_SPEED_SAMPLES_H_
