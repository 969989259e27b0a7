#ifndef SKYLARKCROFT_LIMITS_SKYLARKCROFT_LIMIT_SHARE_H_
#define SKYLARKCROFT_LIMITS_SKYLARKCROFT_LIMIT_SHARE_H_

#include <cstddef>
#include <vector>

namespace skylarkcroft {

/// What one node tells the others about one limit of one caller.
struct limit_claim {
  /// What its callers ask for, in the limit's unit.
  double demand = 0;
  /// The part of the limit that it enforces.
  double part = 0;

  bool operator==(const limit_claim&) const = default;
};

/// Everything that decides this node's next part of one limit.
struct share_view {
  double limit = 0;
  limit_claim own;
  /// Nodes that can be reached.
  std::vector<limit_claim> reachable;
  /// Nodes that are suspected; they may still use their part.
  std::vector<limit_claim> suspect;
  /// Nodes removed without having left, which keep to the safe part.
  size_t silent = 0;
};

/// The part of a node that is cut off: an even part over all nodes known.
double SafePart(const share_view& view);

/// The part to enforce from now on. A part falls at once and rises only into
/// what the published parts of the others leave free, in proportion to what
/// each node still lacks, so that equal views never sum to more than the
/// limit.
double NextPart(const share_view& view);

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_LIMITS_SKYLARKCROFT_LIMIT_SHARE_H_
