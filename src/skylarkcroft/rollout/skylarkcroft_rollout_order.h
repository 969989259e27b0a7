#ifndef SKYLARKCROFT_ROLLOUT_SKYLARKCROFT_ROLLOUT_ORDER_H_
#define SKYLARKCROFT_ROLLOUT_SKYLARKCROFT_ROLLOUT_ORDER_H_

#include <cstdint>
#include <string>

#include "skylarkcroft/internal/skylarkcroft_time.h"
#include "skylarkcroft/store/skylarkcroft_store_position.h"

namespace skylarkcroft {

/// The operator's order to move a service to the upstreams of another version.
struct rollout_order {
  std::string service;
  std::string target;       ///< Version that is to serve all requests.
  milliseconds period{0};   ///< Time within which the rollout has to end.
  store_position position;  ///< Of the row that holds the order.

  bool operator==(const rollout_order&) const = default;
};

/// Whether both are the same order. A store that came back from an older copy
/// may have given the row another version; within one era another version is
/// another order.
[[nodiscard]] inline bool IsSameOrder(const rollout_order& left,
                                      const rollout_order& right) {
  return left.service == right.service && left.target == right.target &&
         left.period == right.period &&
         (left.position.era != right.position.era ||
          left.position.version == right.position.version);
}

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_ROLLOUT_SKYLARKCROFT_ROLLOUT_ORDER_H_
