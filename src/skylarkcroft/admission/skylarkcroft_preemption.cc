#include "skylarkcroft/admission/skylarkcroft_preemption.h"

#include <algorithm>
#include <tuple>

namespace skylarkcroft {
namespace {

constexpr double kPreemptionsPerSlotSecond = 0.5;

bool IsCheaper(const preemption_candidate& left,
               const preemption_candidate& right) {
  const double left_loss = static_cast<double>(left.lost_tokens) * left.worth;
  const double right_loss =
      static_cast<double>(right.lost_tokens) * right.worth;
  return std::tie(left_loss, right.work_rank, left.request_id) <
         std::tie(right_loss, left.work_rank, right.request_id);
}

}  // namespace

const preemption_candidate* CheapestCandidate(
    const std::vector<preemption_candidate>& candidates) {
  const auto cheapest =
      std::min_element(candidates.begin(), candidates.end(), IsCheaper);
  return cheapest == candidates.end() ? nullptr : &*cheapest;
}

bool preemption_limiter::TryAcquire(int64_t slots, time_point now) {
  const double rate = kPreemptionsPerSlotSecond * static_cast<double>(slots);
  const std::chrono::duration<double> elapsed =
      now - refilled_at_.value_or(now);
  refilled_at_ = now;
  available_ =
      std::min(std::max(1.0, rate), available_ + rate * elapsed.count());
  if (available_ < 1) {
    return false;
  }
  available_ -= 1;
  return true;
}

}  // namespace skylarkcroft
