#ifndef SKYLARKCROFT_LOAD_SKYLARKCROFT_RESTORE_MODEL_H_
#define SKYLARKCROFT_LOAD_SKYLARKCROFT_RESTORE_MODEL_H_

#include <cstddef>
#include <cstdint>

#include "skylarkcroft/internal/skylarkcroft_time.h"

namespace skylarkcroft::load {

/// How nodes learn that the store came back from an older copy, and when they
/// read its tables again. In each design two nodes watch a table.
enum class restore_design {
  /// Nodes learn from their own next call only.
  kOwnCalls,
  /// Nodes learn from periodic reports too and read at once.
  kReportsAtOnce,
  /// A node that watches also tells all others at once; these read at once.
  kToldAtOnce,
  /// As above, and the reads are spread.
  kToldSpread,
};

/// Parameters of the model; times are those of the relay.
struct restore_model_parameters {
  size_t nodes = 7;
  size_t tables = 3;
  /// How long the store was away; nodes whose replicas have become too old
  /// meanwhile retry.
  milliseconds outage{2000};
  double lost_share = 0.02;  ///< Of all datagrams.
  size_t datagram_bytes = 80;
  double bytes_per_second = 800000;
  milliseconds link_delay{2};
  milliseconds store_delay{8};
  milliseconds max_staleness{1200};
  milliseconds max_backoff{400};             ///< Of nodes that watch.
  milliseconds max_backoff_of_others{1600};  ///< Of the others.
  milliseconds spread_per_node{3};
  milliseconds max_spread{1000};
  uint64_t seed = 1;

  bool operator==(const restore_model_parameters&) const = default;
};

/// What a restore costs, and how soon the nodes are current.
struct restore_cost {
  size_t calls_in_first_second = 0;  ///< At the store, of all nodes.
  size_t most_calls_in_100_ms = 0;
  milliseconds median_delay{0};   ///< From the return until a node is current.
  milliseconds longest_delay{0};  ///< Until all nodes are.

  bool operator==(const restore_cost&) const = default;
};

/// Plays one restore with a seeded random source, without clock or network.
restore_cost PlayRestore(restore_design design,
                         const restore_model_parameters& parameters);

}  // namespace skylarkcroft::load

#endif  // SKYLARKCROFT_LOAD_SKYLARKCROFT_RESTORE_MODEL_H_
