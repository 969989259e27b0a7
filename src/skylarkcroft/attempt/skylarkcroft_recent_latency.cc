#include "skylarkcroft/attempt/skylarkcroft_recent_latency.h"

#include <algorithm>

namespace skylarkcroft {
namespace {

constexpr size_t kMaxSamples = 256;
constexpr size_t kMinSamples = 40;

}  // namespace

void recent_latency::Record(duration sample) {
  if (samples_.size() < kMaxSamples) {
    samples_.push_back(sample);
    return;
  }
  samples_[next_] = sample;
  next_ = (next_ + 1) % kMaxSamples;
}

std::optional<duration> recent_latency::Quantile(double q) const {
  if (samples_.size() < kMinSamples) {
    return std::nullopt;
  }
  std::vector<duration> sorted = samples_;
  const auto last_index = static_cast<double>(sorted.size() - 1);
  const auto quantile =
      sorted.begin() +
      static_cast<std::ptrdiff_t>(last_index * std::clamp(q, 0.0, 1.0));
  std::nth_element(sorted.begin(), quantile, sorted.end());
  return *quantile;
}

}  // namespace skylarkcroft
