#include "skylarkcroft/limits/skylarkcroft_limit_share.h"

#include <algorithm>

namespace skylarkcroft {
namespace {

/// Share of a limit that is split evenly, for demand that arrives suddenly.
constexpr double kEvenShare = 0.2;

double Available(const share_view& view) {
  const double safe = SafePart(view);
  double available = view.limit - safe * static_cast<double>(view.silent);
  for (const limit_claim& claim : view.suspect) {
    available -= std::max(claim.part, safe);
  }
  return std::max(0.0, available);
}

double TotalDemand(const share_view& view) {
  double total = view.own.demand;
  for (const limit_claim& claim : view.reachable) {
    total += claim.demand;
  }
  return total;
}

}  // namespace

double SafePart(const share_view& view) {
  const size_t nodes =
      1 + view.reachable.size() + view.suspect.size() + view.silent;
  return view.limit / static_cast<double>(nodes);
}

double NextPart(const share_view& view) {
  const double available = Available(view);
  const double total = TotalDemand(view);
  const double even =
      available / static_cast<double>(1 + view.reachable.size());
  const auto target_of = [&](const limit_claim& claim) {
    const double by_demand =
        total > 0 ? available * claim.demand / total : even;
    return kEvenShare * even + (1 - kEvenShare) * by_demand;
  };
  const double target = target_of(view.own);
  if (target <= view.own.part) {
    return target;
  }
  if (!view.suspect.empty()) {
    return view.own.part;
  }
  double room = available - view.own.part;
  double lacking = target - view.own.part;
  for (const limit_claim& claim : view.reachable) {
    room -= claim.part;
    lacking += std::max(0.0, target_of(claim) - claim.part);
  }
  const double lack = target - view.own.part;
  return view.own.part + std::clamp(room * lack / lacking, 0.0, lack);
}

}  // namespace skylarkcroft
