#include "skylarkcroft/limits/skylarkcroft_limit_allocation.h"

#include <algorithm>

namespace skylarkcroft {
namespace {

/// Fraction of a limit that is divided evenly whatever the demand, so that
/// every node can serve demand that arrives suddenly.
constexpr double kEvenFraction = 0.2;

double Available(const allocation_inputs& inputs) {
  const double isolated = IsolatedAllocation(inputs);
  double available =
      inputs.limit - isolated * static_cast<double>(inputs.silent);
  for (const limit_allocation& allocation : inputs.suspect) {
    available -= std::max(allocation.allocated, isolated);
  }
  return std::max(0.0, available);
}

double TotalDemand(const allocation_inputs& inputs) {
  double total = inputs.own.demand;
  for (const limit_allocation& allocation : inputs.reachable) {
    total += allocation.demand;
  }
  return total;
}

}  // namespace

double IsolatedAllocation(const allocation_inputs& inputs) {
  const size_t nodes =
      1 + inputs.reachable.size() + inputs.suspect.size() + inputs.silent;
  return inputs.limit / static_cast<double>(nodes);
}

double NextAllocation(const allocation_inputs& inputs) {
  const double available = Available(inputs);
  const double total = TotalDemand(inputs);
  const double even =
      available / static_cast<double>(1 + inputs.reachable.size());
  const auto target_of = [&](const limit_allocation& allocation) {
    const double by_demand =
        total > 0 ? available * allocation.demand / total : even;
    return kEvenFraction * even + (1 - kEvenFraction) * by_demand;
  };
  const double target = target_of(inputs.own);
  if (target <= inputs.own.allocated) {
    return target;
  }
  if (!inputs.suspect.empty()) {
    return inputs.own.allocated;
  }
  double unallocated = available - inputs.own.allocated;
  double total_lack = target - inputs.own.allocated;
  for (const limit_allocation& allocation : inputs.reachable) {
    unallocated -= allocation.allocated;
    total_lack += std::max(0.0, target_of(allocation) - allocation.allocated);
  }
  const double lack = target - inputs.own.allocated;
  return inputs.own.allocated +
         std::clamp(unallocated * lack / total_lack, 0.0, lack);
}

}  // namespace skylarkcroft
