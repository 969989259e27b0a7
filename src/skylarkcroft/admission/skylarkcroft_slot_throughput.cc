#include "skylarkcroft/admission/skylarkcroft_slot_rate.h"

#include <algorithm>

namespace skylarkcroft {
namespace {

constexpr double kNewestWeight = 0.05;
constexpr double kMinSlots = 0.05;
constexpr double kMinTokensPerS = 1e-3;
constexpr double kLongestS = 86400;

}  // namespace

void slot_rate::Note(int64_t tokens, duration held) {
  const double seconds = std::chrono::duration<double>(held).count();
  if (tokens <= 0 || seconds <= 0) {
    return;
  }
  const double measured = static_cast<double>(tokens) / seconds;
  const double before = tokens_per_s_.value_or(measured);
  tokens_per_s_ = before + kNewestWeight * (measured - before);
}

duration slot_rate::TimeFor(double tokens, double slots) const {
  if (!tokens_per_s_) {
    return duration::zero();
  }
  const double rate =
      std::max(kMinTokensPerS, *tokens_per_s_) * std::max(kMinSlots, slots);
  const std::chrono::duration<double> span(std::min(kLongestS, tokens / rate));
  return std::chrono::duration_cast<duration>(span);
}

}  // namespace skylarkcroft
