#ifndef SKYLARKCROFT_PLACEMENT_SKYLARKCROFT_LOAD_BALANCER_PARAMETERS_H_
#define SKYLARKCROFT_PLACEMENT_SKYLARKCROFT_LOAD_BALANCER_PARAMETERS_H_

#include "skylarkcroft/internal/skylarkcroft_time.h"
#include "skylarkcroft/placement/skylarkcroft_pace_parameters.h"

namespace skylarkcroft {

/// Parameters of the cost model by which upstreams are compared. Costs and
/// penalties are in the scale of milliseconds.
struct load_balancer_parameters {
  /// Prompt tokens that an engine prefills per millisecond, according to the
  /// data sheets of the deployments.
  double prefill_tokens_per_ms = 92;
  /// Time from the start of the prefill to the first token, according to the
  /// same data sheets.
  milliseconds first_token_latency{60};
  /// Delay that each running request is assumed to add to a further one.
  double running_request_cost_ms = 4;
  /// The same delay when all batch slots are taken. Divided by the number of
  /// slots it is the cost per running request at engines with few slots, since
  /// a request to a full engine preempts a running stream.
  double full_batch_cost_ms = 256;
  /// A prefill of this duration stalls the running streams of an engine for
  /// longer than clients accept. The cost of a shorter prefill to each running
  /// stream grows with the square of its duration.
  milliseconds max_prefill_stall{500};
  /// Weight of the prefill of less urgent prompts: it does not delay the first
  /// token of a more urgent request, but the tokens after it.
  double less_urgent_prefill_weight = 0.5;
  /// Factor on the time to prefill a shared part again, since each prefill
  /// delays all streams of the engine.
  double repeated_prefill_weight = 2;
  /// Penalty for an upstream that fails every request; scaled by the share of
  /// failures.
  double failure_penalty_ms = 3000;
  /// An upstream's share of failures may exceed the median of its service by
  /// this much without penalty: with few outcomes a healthy upstream may reach
  /// it by chance.
  double failure_tolerance = 0.1;
  /// Penalty for an on-demand upstream (one at the full price, not reclaimable)
  /// while at least half of the service's upstreams are reclaimable, so that it
  /// is idle when it is terminated.
  double on_demand_penalty_ms = 150;
  /// Lower bound of the age that peer reports are taken to have: they spend
  /// time in transit, and do not contain requests that other nodes are placing
  /// at the same moment.
  milliseconds min_peer_report_age{50};
  /// An entry that was removed while the store was unreachable, or within this
  /// time after it became reachable again, is kept for this time, since its
  /// upstream may register again. The platform documents about two seconds.
  milliseconds removal_grace{1500};
  /// A peer's report is counted until it reaches this age.
  milliseconds peer_report_max_age{1500};
  /// Penalty for an upstream that drains, so that it is used only while the
  /// others are busy.
  double draining_penalty_ms = 100;
  /// An upstream that was removed unannounced is used further only if a byte
  /// arrived from it within this time.
  milliseconds max_silence_after_removal{500};
  /// Longest time that an engine is assumed to need for an output token.
  double max_token_latency_ms = 5;
  /// Longest time that a plain service is assumed to need for a request.
  milliseconds max_plain_request_time{300};
  /// Share of an engine's KV cache that requests are planned to fill.
  double max_kv_cache_share = 0.92;
  /// Limit on upstreams that have just started or returned.
  pace_parameters pace;

  bool operator==(const load_balancer_parameters&) const = default;
};

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_PLACEMENT_SKYLARKCROFT_LOAD_BALANCER_PARAMETERS_H_
