#ifndef SKYLARKCROFT_CONTROL_SKYLARKCROFT_ORDER_CALLER_H_
#define SKYLARKCROFT_CONTROL_SKYLARKCROFT_ORDER_CALLER_H_

#include <functional>
#include <optional>

#include "skylarkcroft/control/skylarkcroft_bounded_caller.h"
#include "skylarkcroft/control/skylarkcroft_upstream_order.h"
#include "skylarkcroft/internal/skylarkcroft_endpoint.h"
#include "skylarkcroft/internal/skylarkcroft_time.h"

namespace skylarkcroft {

class event_loop;
class http_client;

enum class order_outcome {
  kApplied,
  kStaleFence,  ///< The upstream has seen a higher fence.
  kUnknown,     ///< No answer in time; read the state back.
};

/// Sends orders to engines and reads their reports back. An order that is not
/// answered within its flight is cut off by closing its connection.
class order_caller {
 public:
  using report_fn = std::function<void(const std::optional<order_report>&)>;
  using ordered_fn = std::function<void(order_outcome)>;

  order_caller(event_loop& loop, http_client& client, milliseconds flight);

  /// Empty when the upstream did not answer. Never answers from inside itself.
  void Read(const endpoint& address, report_fn done);
  void Order(const endpoint& address, const upstream_order& order,
             ordered_fn done);

 private:
  bounded_caller calls_;
};

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_CONTROL_SKYLARKCROFT_ORDER_CALLER_H_
