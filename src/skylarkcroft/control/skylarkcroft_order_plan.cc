#include "skylarkcroft/control/skylarkcroft_order_plan.h"

#include <algorithm>

namespace skylarkcroft {
namespace {

enum class upstream_condition {
  kUnreadable,    // Its report could not be read.
  kUpToDate,      // Needs no order.
  kNeedsOrder,    // Needs an order that loads no weights.
  kLoading,       // Loads the target state.
  kOutOfService,  // Loads something else, or has no model.
  kDraining,      // Drains and is not idle yet.
  kReadyToLoad,   // Has drained and is idle.
  kNeedsDrain,    // Serves other weights; must drain before loading.
};

bool IsOwnOrder(const order_plan_input& input, const order_report& report) {
  return report.fence == input.fence && report.issuer == input.issuer &&
         report.number ==
             OrderNumber(input.revision, input.target_state.draining);
}

upstream_condition Classify(const order_plan_input& input,
                            const observed_upstream& upstream) {
  if (!upstream.report) {
    return upstream_condition::kUnreadable;
  }
  const order_report& report = *upstream.report;
  if (report.loading) {
    return IsOwnOrder(input, report) ? upstream_condition::kLoading
                                     : upstream_condition::kOutOfService;
  }
  if (report.actual == input.target_state) {
    const bool confirmed =
        input.fencing == fencing_mode::kIgnored || report.fence == input.fence;
    return confirmed ? upstream_condition::kUpToDate
                     : upstream_condition::kNeedsOrder;
  }
  if (SameWeights(report.actual, input.target_state)) {
    return upstream_condition::kNeedsOrder;
  }
  if (report.actual.model.empty()) {
    return upstream_condition::kOutOfService;
  }
  if (!report.actual.draining) {
    return upstream_condition::kNeedsDrain;
  }
  return upstream.idle ? upstream_condition::kReadyToLoad
                       : upstream_condition::kDraining;
}

bool IsOutOfService(upstream_condition condition) {
  switch (condition) {
    case upstream_condition::kUnreadable:
    case upstream_condition::kLoading:
    case upstream_condition::kOutOfService:
    case upstream_condition::kDraining:
    case upstream_condition::kReadyToLoad:
      return true;
    case upstream_condition::kUpToDate:
    case upstream_condition::kNeedsOrder:
    case upstream_condition::kNeedsDrain:
      return false;
  }
  return true;
}

planned_order MakeOrder(const order_plan_input& input,
                        const observed_upstream& upstream,
                        const engine_state& desired, bool loads) {
  upstream_order order;
  order.fence = input.fence;
  order.issuer = input.issuer;
  order.number = OrderNumber(input.revision, desired.draining);
  order.desired = desired;
  return {upstream.name, order, loads};
}

planned_order MakeDrain(const order_plan_input& input,
                        const observed_upstream& upstream) {
  engine_state drained = upstream.report->actual;
  drained.draining = true;
  return MakeOrder(input, upstream, drained, false);
}

size_t MaxOutOfService(const order_plan_input& input, size_t upstreams) {
  const double share =
      input.max_out_of_service_share * static_cast<double>(upstreams);
  return std::max<size_t>(1, static_cast<size_t>(share));
}

}  // namespace

int64_t OrderNumber(int64_t revision, bool draining) {
  return 2 * revision + (draining ? 0 : 1);
}

order_plan PlanOrders(const order_plan_input& input,
                      const std::vector<observed_upstream>& upstreams) {
  order_plan plan;
  for (const observed_upstream& upstream : upstreams) {
    if (upstream.report && upstream.report->fence > input.fence) {
      plan.superseded = true;
      return plan;
    }
    plan.out_of_service += IsOutOfService(Classify(input, upstream)) ? 1 : 0;
  }
  const size_t max_out_of_service = MaxOutOfService(input, upstreams.size());
  for (const observed_upstream& upstream : upstreams) {
    switch (Classify(input, upstream)) {
      case upstream_condition::kUnreadable:
      case upstream_condition::kLoading:
      case upstream_condition::kDraining:
        break;
      case upstream_condition::kUpToDate:
        ++plan.up_to_date;
        break;
      case upstream_condition::kNeedsOrder:
        plan.orders.push_back(
            MakeOrder(input, upstream, input.target_state, false));
        break;
      case upstream_condition::kOutOfService:
      case upstream_condition::kReadyToLoad:
        plan.orders.push_back(
            MakeOrder(input, upstream, input.target_state, true));
        break;
      case upstream_condition::kNeedsDrain:
        if (plan.out_of_service >= max_out_of_service) {
          ++plan.awaiting_drain;
          break;
        }
        ++plan.out_of_service;
        plan.orders.push_back(MakeDrain(input, upstream));
        break;
    }
  }
  return plan;
}

}  // namespace skylarkcroft
