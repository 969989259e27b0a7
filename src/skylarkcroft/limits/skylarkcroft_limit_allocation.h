#ifndef SKYLARKCROFT_LIMITS_SKYLARKCROFT_LIMIT_ALLOCATION_H_
#define SKYLARKCROFT_LIMITS_SKYLARKCROFT_LIMIT_ALLOCATION_H_

#include <cstddef>
#include <vector>

namespace skylarkcroft {

/// One node's use of one limit of one caller, as published to the other nodes.
struct limit_allocation {
  /// What the caller asks for at this node, in the limit's unit.
  double demand = 0;
  /// The part of the limit that this node enforces, in the limit's unit.
  double allocated = 0;

  bool operator==(const limit_allocation&) const = default;
};

/// Inputs that determine this node's next allocation of one limit.
struct allocation_inputs {
  double limit = 0;
  limit_allocation own;
  /// Allocations of the nodes that can be reached.
  std::vector<limit_allocation> reachable;
  /// Allocations of the nodes suspected to have failed; they may still use
  /// them.
  std::vector<limit_allocation> suspect;
  /// Number of nodes that disappeared without having announced that they leave;
  /// they may still run, isolated, and use the isolated allocation.
  size_t silent = 0;
};

/// The allocation of a node that cannot reach the others: an even part of the
/// limit over all known nodes.
double IsolatedAllocation(const allocation_inputs& inputs);

/// The allocation to enforce from now on. A decrease applies at once. An
/// increase is bounded by what the published allocations of the others leave
/// free, divided in proportion to what each node lacks; so the allocations of
/// nodes with equal inputs never sum to more than the limit. There is no
/// increase while a node is suspected.
double NextAllocation(const allocation_inputs& inputs);

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_LIMITS_SKYLARKCROFT_LIMIT_ALLOCATION_H_
