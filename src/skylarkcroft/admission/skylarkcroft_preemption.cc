#include "skylarkcroft/admission/skylarkcroft_preemption.h"

#include <algorithm>
#include <tuple>

namespace skylarkcroft {
namespace {

constexpr double kPreemptionsPerSlotSecond = 0.5;

bool LosesLess(const preemption_candidate& left,
               const preemption_candidate& right) {
  const double left_loss = static_cast<double>(left.lost_tokens) * left.worth;
  const double right_loss =
      static_cast<double>(right.lost_tokens) * right.worth;
  return std::tie(left_loss, right.work_rank, left.request_id) <
         std::tie(right_loss, left.work_rank, right.request_id);
}

}  // namespace

const preemption_candidate* CheapestOf(
    const std::vector<preemption_candidate>& candidates) {
  const auto cheapest =
      std::min_element(candidates.begin(), candidates.end(), LosesLess);
  return cheapest == candidates.end() ? nullptr : &*cheapest;
}

bool preemption_limiter::TryTake(int64_t slots, time_point now) {
  const double rate = kPreemptionsPerSlotSecond * static_cast<double>(slots);
  const std::chrono::duration<double> elapsed = now - filled_at_.value_or(now);
  filled_at_ = now;
  tokens_ = std::min(std::max(1.0, rate), tokens_ + rate * elapsed.count());
  if (tokens_ < 1) {
    return false;
  }
  tokens_ -= 1;
  return true;
}

}  // namespace skylarkcroft
