#ifndef SKYLARKCROFT_CONTROL_SKYLARKCROFT_ORDER_PLAN_H_
#define SKYLARKCROFT_CONTROL_SKYLARKCROFT_ORDER_PLAN_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "skylarkcroft/control/skylarkcroft_upstream_order.h"
#include "skylarkcroft/tables/skylarkcroft_pools_table.h"

namespace skylarkcroft {

/// Target of one pool and the values that its orders carry.
struct order_plan_input {
  fencing_mode fencing = fencing_mode::kChecked;
  /// State that every upstream should reach, from the pools table.
  engine_state target_state;
  int64_t fence = 0;
  std::string issuer;
  /// Revision of the tables from which `target_state` was read.
  int64_t revision = 0;
  /// Largest share of the upstreams that may be out of service at once; one
  /// upstream may always be.
  double max_out_of_service_share = 0.25;

  bool operator==(const order_plan_input&) const = default;
};

/// State of one upstream as last read; `report` is empty when the read failed.
struct observed_upstream {
  std::string name;
  std::optional<order_report> report;
  /// No request runs on it, or the drain timeout has passed.
  bool idle = false;

  bool operator==(const observed_upstream&) const = default;
};

struct planned_order {
  std::string upstream_name;
  upstream_order order;
  /// True when the order makes the upstream load weights.
  bool loads = false;

  bool operator==(const planned_order&) const = default;
};

struct order_plan {
  std::vector<planned_order> orders;
  /// An upstream reports a higher fence: another process holds the lease now.
  bool superseded = false;
  size_t up_to_date = 0;      ///< Serve the target state.
  size_t out_of_service = 0;  ///< Loading, draining or unreadable.
  size_t awaiting_drain = 0;  ///< Serve other weights; may not drain yet.

  bool operator==(const order_plan&) const = default;
};

/// Plans the next orders that bring a pool closer to its target state, based
/// only on the states read from the upstreams. An upstream with other weights
/// is drained first and loads the new ones once it is idle. Upstreams that
/// check fences get an order from each new holder even when their state is
/// already correct, so that they reject orders of previous holders.
order_plan PlanOrders(const order_plan_input& input,
                      const std::vector<observed_upstream>& upstreams);

/// Order numbers increase with the table revision. Within one revision, the
/// number of a load order is higher than that of a drain order.
int64_t OrderNumber(int64_t revision, bool draining);

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_CONTROL_SKYLARKCROFT_ORDER_PLAN_H_
