#ifndef SKYLARKCROFT_LOAD_SKYLARKCROFT_LATENCY_HISTOGRAM_H_
#define SKYLARKCROFT_LOAD_SKYLARKCROFT_LATENCY_HISTOGRAM_H_

#include <cstdint>
#include <memory>

#include "skylarkcroft/internal/skylarkcroft_time.h"

namespace skylarkcroft::load {

/// Latencies in milliseconds at a few points of their distribution; all zero
/// when there were none.
struct latency_summary {
  int64_t count = 0;
  double mean_ms = 0;
  double p50_ms = 0;
  double p95_ms = 0;
  double p99_ms = 0;
  double max_ms = 0;

  bool operator==(const latency_summary&) const = default;
};

/// Histogram of durations with logarithmic bins one part in a hundred wide,
/// from 10 microseconds to one hour, on Boost.Histogram.
class latency_histogram {
 public:
  latency_histogram();
  ~latency_histogram();
  latency_histogram(latency_histogram&&) noexcept;
  latency_histogram& operator=(latency_histogram&&) noexcept;

  void Add(duration value);
  /// The value below which `part` (0 to 1) of all values lie, in milliseconds.
  [[nodiscard]] double QuantileMs(double part) const;
  [[nodiscard]] latency_summary Summary() const;

 private:
  struct bins;

  std::unique_ptr<bins> bins_;
  int64_t count_ = 0;
  double sum_ms_ = 0;
  double max_ms_ = 0;
};

}  // namespace skylarkcroft::load

#endif  // SKYLARKCROFT_LOAD_SKYLARKCROFT_LATENCY_HISTOGRAM_H_
