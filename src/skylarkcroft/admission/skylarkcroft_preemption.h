#ifndef SKYLARKCROFT_ADMISSION_SKYLARKCROFT_PREEMPTION_H_
#define SKYLARKCROFT_ADMISSION_SKYLARKCROFT_PREEMPTION_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "skylarkcroft/internal/skylarkcroft_time.h"
#include "skylarkcroft/tables/skylarkcroft_rank.h"

namespace skylarkcroft {

/// A running request that may be preempted.
struct preemption_candidate {
  std::string request_id;
  rank work_rank = rank::kBatch;
  /// Tokens to compute again after a preemption: the prompt and what was
  /// delivered.
  int64_t lost_tokens = 0;
  /// Relative value of the request's rank.
  double worth = 1.0;

  bool operator==(const preemption_candidate&) const = default;
};

/// The candidate with the lowest loss: tokens to compute again times worth; for
/// equal losses the less urgent rank. Null when there are no candidates.
const preemption_candidate* CheapestCandidate(
    const std::vector<preemption_candidate>& candidates);

/// Token bucket that limits the preemptions per second in a pool, in proportion
/// to its slots.
class preemption_limiter {
 public:
  /// Takes one token; false when the limit is reached.
  bool TryAcquire(int64_t slots, time_point now);

 private:
  double available_ = 1;
  std::optional<time_point> refilled_at_;
};

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_ADMISSION_SKYLARKCROFT_PREEMPTION_H_
