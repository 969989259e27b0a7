#ifndef SKYLARKCROFT_PLACEMENT_SKYLARKCROFT_PACE_PARAMETERS_H_
#define SKYLARKCROFT_PLACEMENT_SKYLARKCROFT_PACE_PARAMETERS_H_

#include <cstddef>

#include "skylarkcroft/internal/skylarkcroft_time.h"

namespace skylarkcroft {

/// Parameters of the limit on the requests at an upstream that has just
/// started.
struct pace_parameters {
  /// Whether upstreams that start or return are limited at all.
  bool enabled = true;
  /// The limit at first, as a share of the batch slots, and at least.
  double first_share = 0.125;
  /// Above this number of nodes the share grows with the nodes, as the age of
  /// their reports does: the limit rises once per report.
  size_t nodes_of_first_share = 90;
  int first_min = 2;
  /// By how much the limit rises with an answer in time. With 1 it doubles with
  /// each round of answers.
  double rise = 1;
  /// By how much it falls with a late answer.
  double late_fall = 1;
  /// By how much it falls with a refusal, a failure or silence: a request, and
  /// this share of the limit.
  double rejection_fall_share = 0.1;
  /// A limit ends after this time: an upstream without demand gives no answers.
  milliseconds max_time{5000};
  /// Unless there was a rejection within this time.
  milliseconds quiet_time{1000};
  /// What this node has contributed is reported for this time after the end,
  /// for nodes that see the end later.
  milliseconds report_after_end{5000};

  bool operator==(const pace_parameters&) const = default;
};

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_PLACEMENT_SKYLARKCROFT_PACE_PARAMETERS_H_
