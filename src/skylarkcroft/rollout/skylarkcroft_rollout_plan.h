#ifndef SKYLARKCROFT_ROLLOUT_SKYLARKCROFT_ROLLOUT_PLAN_H_
#define SKYLARKCROFT_ROLLOUT_SKYLARKCROFT_ROLLOUT_PLAN_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "skylarkcroft/rollout/skylarkcroft_rollout_order.h"

namespace skylarkcroft {

enum class rollout_stage {
  kWaiting,     ///< No upstream of the new version is ready yet.
  kCanary,      ///< A small share of the requests goes to few new upstreams.
  kRamp,        ///< The routes with long requests have moved.
  kDrain,       ///< All new requests go to the new version.
  kCompleted,   ///< Final: the old upstreams may stop.
  kRolledBack,  ///< Final: no request goes to the new version.
};

std::string_view ToString(rollout_stage stage);

[[nodiscard]] inline bool IsFinal(rollout_stage stage) {
  return stage == rollout_stage::kCompleted ||
         stage == rollout_stage::kRolledBack;
}

/// How the requests of a service are divided between the versions, as decided
/// by the lease holder.
struct rollout_plan {
  rollout_order order;
  /// When the order was first seen, in milliseconds since the Unix epoch.
  int64_t ordered_at_ms = 0;
  int64_t fencing_token = 0;  ///< Of the lease under which it was made.
  int64_t sequence = 0;       ///< Increases with every change by one holder.
  rollout_stage stage = rollout_stage::kWaiting;
  /// Share of the requests that go to the new version during the canary and the
  /// ramp, on routes that have not moved.
  double share = 0;
  /// Number of new upstreams that receive requests before the drain stage.
  int canary_upstreams = 0;
  /// Routes whose requests all go to the new version during the ramp.
  std::vector<std::string> moved_routes{};
  std::string reason{};  ///< Why it was rolled back; for logs.

  bool operator==(const rollout_plan&) const = default;
};

/// Whether a node that follows `current` has to follow `plan` instead. A later
/// order replaces an earlier one. Within an order a final stage is never left,
/// and otherwise the higher fencing token and sequence decide.
[[nodiscard]] bool Supersedes(const rollout_plan& plan,
                              const rollout_plan& current);

/// Encodes a plan as the value of a row of the store.
std::string EncodePlanRow(const rollout_plan& plan);
/// Decodes the value of a row; returns nothing if it is not a plan.
std::optional<rollout_plan> DecodePlanRow(std::string_view value);

/// Encodes a plan as a datagram of at most one packet, in CBOR. The reason is
/// left out.
std::string EncodePlan(const rollout_plan& plan);
/// Decodes a datagram; returns nothing if `bytes` is not a plan.
std::optional<rollout_plan> DecodePlan(std::string_view bytes);

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_ROLLOUT_SKYLARKCROFT_ROLLOUT_PLAN_H_
