#ifndef SKYLARKCROFT_NODE_SKYLARKCROFT_NODE_METRICS_H_
#define SKYLARKCROFT_NODE_SKYLARKCROFT_NODE_METRICS_H_

#include <array>
#include <cstdint>
#include <string>
#include <string_view>

#include "skylarkcroft/admission/skylarkcroft_admission.h"
#include "skylarkcroft/http/skylarkcroft_refusal_reason.h"
#include "skylarkcroft/internal/skylarkcroft_time.h"
#include "skylarkcroft/metrics/skylarkcroft_metrics_registry.h"
#include "skylarkcroft/tables/skylarkcroft_rank.h"

namespace skylarkcroft {

/// The counters of the request path.
class node_metrics {
 public:
  explicit node_metrics(metrics_registry& registry);

  void CountRequest(rank work_rank);
  void CountRefusal(refusal_reason reason);
  /// `reason` is the outcome of the try before the retry.
  void CountRetry(std::string_view reason);
  void CountRunEvent(std::string_view event);
  void CountUpstreamEvent(std::string_view event);
  void RecordFirstToken(rank work_rank, duration elapsed);
  void RecordAnswer(rank work_rank, duration elapsed);
  /// Sets what a pool has running and queued, by rank.
  void SetPool(const std::string& pool, int64_t capacity,
               const pool_counts& counts);

 private:
  metrics_registry& registry_;
  std::array<counter*, kRankCount> requests_{};
  std::array<counter*, kRefusalReasons.size()> refusals_{};
  std::array<latency_histogram*, kRankCount> first_token_{};
  std::array<latency_histogram*, kRankCount> whole_answer_{};
};

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_NODE_SKYLARKCROFT_NODE_METRICS_H_
