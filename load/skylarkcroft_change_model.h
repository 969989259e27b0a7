#ifndef SKYLARKCROFT_LOAD_SKYLARKCROFT_CHANGE_MODEL_H_
#define SKYLARKCROFT_LOAD_SKYLARKCROFT_CHANGE_MODEL_H_

#include <cstddef>
#include <cstdint>

#include "skylarkcroft/internal/skylarkcroft_time.h"

namespace skylarkcroft::load {

/// How nodes learn of a change of a table in the store.
enum class change_design {
  /// Two nodes watch; the others read the store once a report tells them of the
  /// change.
  kEachReads,
  /// Two nodes watch and send the rows to all others; who misses them reads the
  /// store.
  kWatchersSend,
  /// Two nodes watch; every node sends the rows it has learned to four random
  /// peers, in rounds. Who misses them reads the store.
  kGossip,
};

/// Parameters of the model; times are those of the relay.
struct change_model_parameters {
  size_t nodes = 7;
  double lost_share = 0.02;      ///< Of all datagrams.
  size_t datagram_bytes = 1200;  ///< Of one change with its rows.
  double bytes_per_second = 800000;
  milliseconds link_delay{2};
  milliseconds store_delay{8};
  milliseconds read_after{400};  ///< From the first report of a change.
  milliseconds gossip_round{100};
  uint64_t seed = 1;

  bool operator==(const change_model_parameters&) const = default;
};

/// What one change costs, and how soon it is known.
struct change_cost {
  size_t store_calls = 0;         ///< Of all nodes.
  size_t most_bytes_sent = 0;     ///< By one node.
  milliseconds median_delay{0};   ///< Until a node knows the change.
  milliseconds longest_delay{0};  ///< Until all nodes know it.

  bool operator==(const change_cost&) const = default;
};

/// Plays one change with a seeded random source, without clock or network.
change_cost PlayChange(change_design design,
                       const change_model_parameters& parameters);

}  // namespace skylarkcroft::load

#endif  // SKYLARKCROFT_LOAD_SKYLARKCROFT_CHANGE_MODEL_H_
