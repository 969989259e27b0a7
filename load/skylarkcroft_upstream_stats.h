#ifndef SKYLARKCROFT_LOAD_SKYLARKCROFT_UPSTREAM_STATS_H_
#define SKYLARKCROFT_LOAD_SKYLARKCROFT_UPSTREAM_STATS_H_

#include <cstdint>
#include <string_view>
#include <vector>

namespace skylarkcroft::load {

/// Counters of one upstream stand-in, from `GET /admin/stats`.
struct upstream_stats {
  int64_t requests = 0;
  /// Prompt tokens that were computed, and that the prefix cache held.
  int64_t prefill_tokens = 0;
  int64_t cached_tokens = 0;
  int64_t generated_tokens = 0;
  int64_t resumed = 0;
  int64_t cancelled = 0;
  /// Runs beyond the first of one request id or idempotency key.
  int64_t repeated_runs = 0;
  int64_t received_while_leaving = 0;

  bool operator==(const upstream_stats&) const = default;
};

/// Throws config_error when `body` is no stats document.
upstream_stats ParseUpstreamStats(std::string_view body);

/// What the upstreams did during a run, all together.
struct upstream_summary {
  int64_t upstreams = 0;
  upstream_stats sums;
  /// Work of the busiest upstream over the mean, by tokens generated, or by
  /// requests where no tokens were.
  double busiest_over_mean = 0;

  bool operator==(const upstream_summary&) const = default;
};

/// `before` and `after` list the same upstreams in the same order.
upstream_summary Summarize(const std::vector<upstream_stats>& before,
                           const std::vector<upstream_stats>& after);

}  // namespace skylarkcroft::load

#endif  // SKYLARKCROFT_LOAD_SKYLARKCROFT_UPSTREAM_STATS_H_
