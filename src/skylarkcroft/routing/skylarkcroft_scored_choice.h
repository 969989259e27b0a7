#ifndef SKYLARKCROFT_ROUTING_SKYLARKCROFT_SCORED_CHOICE_H_
#define SKYLARKCROFT_ROUTING_SKYLARKCROFT_SCORED_CHOICE_H_

#include <cstdint>
#include <functional>
#include <memory>

#include "skylarkcroft/routing/skylarkcroft_prefix_tracker.h"
#include "skylarkcroft/routing/skylarkcroft_upstream_choice.h"

namespace skylarkcroft {

/// Weights of a choice; all costs are compared in milliseconds.
struct score_options {
  /// Milliseconds to compute one uncached prompt token.
  double prefill_ms_per_token = 0.125;
  /// Milliseconds that a request waits for each request beyond the slots.
  double queued_request_ms = 500;
  /// Milliseconds that a full upstream is slower than an idle one.
  double full_batch_ms = 16;
  /// Milliseconds for being in the availability zone of the last failure.
  double failed_zone_ms = 200;
  /// Milliseconds for having refused a request within `refusal_memory`.
  double refused_ms = 200;
  milliseconds refusal_memory{1000};
  /// Milliseconds for each unit of price an hour.
  double price_ms = 1;
  /// Milliseconds for each token at stake on a reclaimable host.
  double reclaim_ms_per_token = 0.01;
  /// An upstream whose requests under way are above this multiple of the mean
  /// is passed over.
  double load_bound = 1.25;
  /// Part of its slots that an upstream may be above that bound.
  double load_slack_slots = 0.5;
  /// An upstream whose recent share of the tokens sent is above this multiple
  /// of the mean is passed over.
  double share_bound = 1.15;
  /// Requests of the present size that an upstream may be above that bound.
  double share_slack_requests = 2;
  /// Time after which a token sent counts 1/e in the recent share.
  milliseconds share_decay{30000};
  /// Time over which a new upstream's share grows to its full size.
  milliseconds slow_start{10000};

  bool operator==(const score_options&) const = default;
};

/// Nodes that send to the upstreams, this one included; at least 1.
using node_count_fn = std::function<int64_t()>;

/// Prefers the upstream with the lowest expected time to the first token:
/// waiting, prefill of what is not cached, zone, price, and the chance of a
/// reclaim times the tokens at stake. Upstreams without a free slot, and those
/// above the bounds on requests
/// under way and on the recent share are passed over. A prompt that nobody has
/// cached goes to the one with the lower recent share of the two that its
/// rendezvous hash names on every node, and prompts without a whole block are
/// spread by two random choices. Records what it chose in `prefixes`.
choose_fn MakeScoredChoice(std::shared_ptr<prefix_tracker> prefixes,
                           const score_options& options,
                           node_count_fn live_nodes, uint64_t seed);

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_ROUTING_SKYLARKCROFT_SCORED_CHOICE_H_
