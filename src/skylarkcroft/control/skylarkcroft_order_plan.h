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

/// Under what the orders of one pool are planned.
struct order_plan_input {
  fencing_mode fencing = fencing_mode::kChecked;
  /// End state of every upstream, from the pools table.
  engine_state target_state;
  int64_t fence = 0;
  std::string issuer;
  /// Revision of the pools table that `target_state` comes from.
  int64_t revision = 0;
  /// Largest share of the upstreams that may be out of service for loading at
  /// once; at least one may.
  double max_out_of_service_share = 0.25;

  bool operator==(const order_plan_input&) const = default;
};

/// One upstream as it was read. Without `report` it could not be read.
struct observed_upstream {
  std::string name;
  std::optional<order_report> report;
  /// Nothing runs on it, or what runs has had its time to end.
  bool idle = false;

  bool operator==(const observed_upstream&) const = default;
};

struct planned_order {
  std::string upstream_name;
  upstream_order order;
  /// It makes the upstream load weights.
  bool loads = false;

  bool operator==(const planned_order&) const = default;
};

struct order_plan {
  std::vector<planned_order> orders;
  /// An upstream has seen a higher fence; this holder is one no more.
  bool superseded = false;
  size_t up_to_date = 0;      ///< Serve what is wanted.
  size_t out_of_service = 0;  ///< Loading, draining or not read.
  size_t awaiting_drain = 0;  ///< Serve something else and wait for their turn.

  bool operator==(const order_plan&) const = default;
};

/// Orders that bring a pool closer to the wanted state, from what was read
/// alone. An upstream with other weights is drained first and loads when it is
/// idle. Upstreams that check fences get an order from each new holder, also
/// when their state is right, so that they refuse what older holders sent.
order_plan PlanOrders(const order_plan_input& input,
                      const std::vector<observed_upstream>& upstreams);

/// Numbers rise with the revision; within one the load follows the drain.
int64_t OrderNumber(int64_t revision, bool draining);

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_CONTROL_SKYLARKCROFT_ORDER_PLAN_H_
