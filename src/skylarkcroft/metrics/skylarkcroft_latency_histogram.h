#ifndef SKYLARKCROFT_METRICS_SKYLARKCROFT_LATENCY_HISTOGRAM_H_
#define SKYLARKCROFT_METRICS_SKYLARKCROFT_LATENCY_HISTOGRAM_H_

#include <cstdint>
#include <memory>
#include <vector>

#include "skylarkcroft/internal/skylarkcroft_time.h"

namespace skylarkcroft {

/// Samples at or below `upper_bound`, counted from zero.
struct latency_bucket {
  duration upper_bound{};
  uint64_t cumulative_count = 0;

  bool operator==(const latency_bucket&) const = default;
};

/// Distribution of latencies over fixed buckets from 0.5 ms to 600 s, on
/// Boost.Histogram.
class latency_histogram {
 public:
  latency_histogram();
  ~latency_histogram();
  latency_histogram(const latency_histogram&) = delete;
  latency_histogram& operator=(const latency_histogram&) = delete;

  /// Adds one sample; a negative one counts as zero.
  void Record(duration sample);
  /// The latency below which a share `q` (0 to 1) of the samples lies,
  /// interpolated within its bucket; the highest bound for samples beyond it,
  /// and zero without samples.
  [[nodiscard]] duration Quantile(double q) const;
  [[nodiscard]] uint64_t count() const { return count_; }
  [[nodiscard]] duration sum() const { return sum_; }
  /// All finite buckets in ascending order.
  [[nodiscard]] std::vector<latency_bucket> Buckets() const;

 private:
  class impl;
  std::unique_ptr<impl> impl_;
  uint64_t count_ = 0;
  duration sum_{};
};

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_METRICS_SKYLARKCROFT_LATENCY_HISTOGRAM_H_
