#ifndef SKYLARKCROFT_ROUTING_SKYLARKCROFT_SCORED_CHOICE_H_
#define SKYLARKCROFT_ROUTING_SKYLARKCROFT_SCORED_CHOICE_H_

#include <cstdint>
#include <functional>
#include <memory>

#include "skylarkcroft/routing/skylarkcroft_prefix_tracker.h"
#include "skylarkcroft/routing/skylarkcroft_upstream_choice.h"

namespace skylarkcroft {

/// Costs and bounds of the scored choice. All costs are in milliseconds, so
/// that they can be added.
struct scored_choice_parameters {
  /// Prefill time of one prompt token that is not cached.
  double prefill_ms_per_token = 0.125;
  /// Waiting time for each request per slot above one.
  double queued_request_ms = 500;
  /// Added delay of an upstream whose slots are all in use, compared to an idle
  /// one.
  double full_batch_delay_ms = 16;
  /// Penalty of an upstream in the availability zone of the last failed
  /// attempt.
  double failed_zone_penalty_ms = 200;
  /// Penalty of an upstream that refused a request within
  /// `refusal_penalty_duration`.
  double refusal_penalty_ms = 200;
  milliseconds refusal_penalty_duration{1000};
  /// Cost for each unit of the hourly price.
  double price_ms_per_unit = 1;
  /// Expected cost of a reclaim for each prompt token and expected output token
  /// of a request on a reclaimable host.
  double reclaim_ms_per_token = 0.01;
  /// Upstreams with more requests per slot than this multiple of the mean are
  /// not chosen.
  double load_bound = 1.25;
  /// Requests per slot allowed above that bound.
  double load_slack_slots = 0.5;
  /// Upstreams with more recent tokens per slot than this multiple of the mean
  /// are not chosen.
  double recent_tokens_bound = 1.15;
  /// Allowance above that bound, in requests of the size of the current one.
  double recent_tokens_slack_requests = 2;
  /// Time after which the weight of a sent token has fallen to 1/e.
  milliseconds recent_tokens_decay{30000};
  /// Time over which a new upstream's slots come into use.
  milliseconds slow_start_duration{10000};

  bool operator==(const scored_choice_parameters&) const = default;
};

/// Number of nodes that send to the upstreams, including this one; at least 1.
using node_count_fn = std::function<int64_t()>;

/// Chooses the upstream with the lowest score. The score estimates the time to
/// the first token, from the waiting time and the prefill of tokens that are
/// not cached, and adds the price, the chance of a reclaim times the tokens at
/// stake, and penalties for a recent refusal and for the availability zone of a
/// failed attempt. Upstreams without a free slot, and those above the bounds on
/// requests and recent tokens per slot, are skipped while others remain.
/// Prompts without a whole block go to the better of two random upstreams. When
/// the upstream with the lowest score has nothing of the prompt cached, every
/// node derives the same two upstreams from a rendezvous hash, and the one with
/// fewer recent tokens is chosen. The choice is recorded in `prefixes`.
choose_fn MakeScoredChoice(std::shared_ptr<prefix_tracker> prefixes,
                           const scored_choice_parameters& parameters,
                           node_count_fn live_nodes, uint64_t seed);

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_ROUTING_SKYLARKCROFT_SCORED_CHOICE_H_
