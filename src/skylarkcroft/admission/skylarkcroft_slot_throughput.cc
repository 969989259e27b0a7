#include "skylarkcroft/admission/skylarkcroft_slot_throughput.h"

#include <algorithm>

namespace skylarkcroft {
namespace {

constexpr double kNewestSampleWeight = 0.05;
constexpr double kMinSlots = 0.05;
constexpr double kMinTokensPerS = 1e-3;
constexpr double kMaxTimeS = 86400;

}  // namespace

void slot_throughput::Record(int64_t tokens, duration slot_time) {
  const double seconds = std::chrono::duration<double>(slot_time).count();
  if (tokens <= 0 || seconds <= 0) {
    return;
  }
  const double sample = static_cast<double>(tokens) / seconds;
  const double previous = tokens_per_s_.value_or(sample);
  tokens_per_s_ = previous + kNewestSampleWeight * (sample - previous);
}

duration slot_throughput::EstimateTime(double tokens, double slots) const {
  if (!tokens_per_s_) {
    return duration::zero();
  }
  const double rate =
      std::max(kMinTokensPerS, *tokens_per_s_) * std::max(kMinSlots, slots);
  const std::chrono::duration<double> span(std::min(kMaxTimeS, tokens / rate));
  return std::chrono::duration_cast<duration>(span);
}

}  // namespace skylarkcroft
