#include "skylarkcroft/control/skylarkcroft_order_plan.h"

#include <algorithm>

namespace skylarkcroft {
namespace {

enum class upstream_need {
  kUnread,    // Could not be read.
  kSettled,   // Nothing to do.
  kConfirm,   // Needs an order that loads nothing.
  kLoading,   // Loads what is wanted.
  kRedirect,  // Loads something, or serves nothing; out of service already.
  kDraining,  // Drained for a load and not idle yet.
  kLoad,      // Drained and idle.
  kDrain,     // Serves other weights.
};

bool IsOwnOrder(const order_terms& terms, const order_report& report) {
  return report.fence == terms.fence && report.issuer == terms.issuer &&
         report.number == OrderNumber(terms.revision, terms.wanted.draining);
}

upstream_need NeedOf(const order_terms& terms,
                     const observed_upstream& upstream) {
  if (!upstream.report) {
    return upstream_need::kUnread;
  }
  const order_report& report = *upstream.report;
  if (report.loading) {
    return IsOwnOrder(terms, report) ? upstream_need::kLoading
                                     : upstream_need::kRedirect;
  }
  if (report.actual == terms.wanted) {
    const bool confirmed =
        terms.fencing == fencing_mode::kIgnored || report.fence == terms.fence;
    return confirmed ? upstream_need::kSettled : upstream_need::kConfirm;
  }
  if (SameWeights(report.actual, terms.wanted)) {
    return upstream_need::kConfirm;
  }
  if (report.actual.model.empty()) {
    return upstream_need::kRedirect;
  }
  if (!report.actual.draining) {
    return upstream_need::kDrain;
  }
  return upstream.idle ? upstream_need::kLoad : upstream_need::kDraining;
}

bool IsOut(upstream_need need) {
  switch (need) {
    case upstream_need::kUnread:
    case upstream_need::kLoading:
    case upstream_need::kRedirect:
    case upstream_need::kDraining:
    case upstream_need::kLoad:
      return true;
    case upstream_need::kSettled:
    case upstream_need::kConfirm:
    case upstream_need::kDrain:
      return false;
  }
  return true;
}

planned_order MakeOrder(const order_terms& terms,
                        const observed_upstream& upstream,
                        const engine_state& desired, bool loads) {
  upstream_order order;
  order.fence = terms.fence;
  order.issuer = terms.issuer;
  order.number = OrderNumber(terms.revision, desired.draining);
  order.desired = desired;
  return {upstream.name, order, loads};
}

planned_order MakeDrain(const order_terms& terms,
                        const observed_upstream& upstream) {
  engine_state drained = upstream.report->actual;
  drained.draining = true;
  return MakeOrder(terms, upstream, drained, false);
}

size_t MostOut(const order_terms& terms, size_t upstreams) {
  const double share = terms.max_out_share * static_cast<double>(upstreams);
  return std::max<size_t>(1, static_cast<size_t>(share));
}

}  // namespace

int64_t OrderNumber(int64_t revision, bool draining) {
  return 2 * revision + (draining ? 0 : 1);
}

order_plan PlanOrders(const order_terms& terms,
                      const std::vector<observed_upstream>& upstreams) {
  order_plan plan;
  for (const observed_upstream& upstream : upstreams) {
    if (upstream.report && upstream.report->fence > terms.fence) {
      plan.superseded = true;
      return plan;
    }
    plan.out += IsOut(NeedOf(terms, upstream)) ? 1 : 0;
  }
  const size_t most_out = MostOut(terms, upstreams.size());
  for (const observed_upstream& upstream : upstreams) {
    switch (NeedOf(terms, upstream)) {
      case upstream_need::kUnread:
      case upstream_need::kLoading:
      case upstream_need::kDraining:
        break;
      case upstream_need::kSettled:
        ++plan.settled;
        break;
      case upstream_need::kConfirm:
        plan.orders.push_back(MakeOrder(terms, upstream, terms.wanted, false));
        break;
      case upstream_need::kRedirect:
      case upstream_need::kLoad:
        plan.orders.push_back(MakeOrder(terms, upstream, terms.wanted, true));
        break;
      case upstream_need::kDrain:
        if (plan.out >= most_out) {
          ++plan.outstanding;
          break;
        }
        ++plan.out;
        plan.orders.push_back(MakeDrain(terms, upstream));
        break;
    }
  }
  return plan;
}

}  // namespace skylarkcroft
