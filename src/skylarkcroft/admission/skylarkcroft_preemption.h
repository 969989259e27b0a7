#ifndef SKYLARKCROFT_ADMISSION_SKYLARKCROFT_PREEMPTION_H_
#define SKYLARKCROFT_ADMISSION_SKYLARKCROFT_PREEMPTION_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "skylarkcroft/internal/skylarkcroft_time.h"
#include "skylarkcroft/tables/skylarkcroft_rank.h"

namespace skylarkcroft {

/// A running request that could make room.
struct preemption_candidate {
  std::string request_id;
  rank work_rank = rank::kBatch;
  /// Tokens to compute again: its prompt and what was delivered.
  int64_t lost_tokens = 0;
  /// Relative value of its rank.
  double worth = 1.0;

  bool operator==(const preemption_candidate&) const = default;
};

/// The candidate that loses least: tokens to compute again times worth, then
/// the less urgent rank; null when there is none.
const preemption_candidate* CheapestOf(
    const std::vector<preemption_candidate>& candidates);

/// Bounds preemptions in a pool to a part of its slots a second.
class preemption_limiter {
 public:
  /// Takes one preemption; false when the bound is reached.
  bool TryTake(int64_t slots, time_point now);

 private:
  double tokens_ = 1;
  std::optional<time_point> filled_at_;
};

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_ADMISSION_SKYLARKCROFT_PREEMPTION_H_
