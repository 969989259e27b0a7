#ifndef SKYLARKCROFT_LOAD_SKYLARKCROFT_ARRIVAL_PROCESS_H_
#define SKYLARKCROFT_LOAD_SKYLARKCROFT_ARRIVAL_PROCESS_H_

#include <cstdint>
#include <optional>
#include <random>
#include <vector>

#include "load/skylarkcroft_experiment_definition.h"
#include "skylarkcroft/internal/skylarkcroft_time.h"

namespace skylarkcroft::load {

/// One request's intended start, counted from the start of the run.
struct arrival {
  duration at{0};
  /// Caller number within the group, from 1.
  int caller = 1;

  bool operator==(const arrival&) const = default;
};

/// Open-loop arrivals of one caller group: the sum of its callers' Poisson
/// processes, with the rate of the phase in force. The same seed gives the same
/// arrivals, whatever the answers do.
class arrival_process {
 public:
  arrival_process(const caller_group& group, duration run_length,
                  uint64_t seed);

  /// The next arrival, or nothing when the run is over.
  std::optional<arrival> Next();

 private:
  struct segment {
    duration from;
    duration to;
    double rate_per_s;
  };

  static std::vector<segment> Segments(const caller_group& group,
                                       duration run_length);

  std::vector<segment> segments_;
  size_t segment_ = 0;
  duration at_{0};
  std::mt19937_64 random_;
  std::uniform_int_distribution<int> caller_;
};

}  // namespace skylarkcroft::load

#endif  // SKYLARKCROFT_LOAD_SKYLARKCROFT_ARRIVAL_PROCESS_H_
