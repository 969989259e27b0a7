#ifndef SKYLARKCROFT_CONTROL_SKYLARKCROFT_ORDER_CLIENT_H_
#define SKYLARKCROFT_CONTROL_SKYLARKCROFT_ORDER_CLIENT_H_

#include <functional>
#include <optional>

#include "skylarkcroft/control/skylarkcroft_timed_http_client.h"
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
class order_client {
 public:
  using report_fn = std::function<void(const std::optional<order_report>&)>;
  using order_done_fn = std::function<void(order_outcome)>;

  order_client(event_loop& loop, http_client& client, milliseconds timeout);

  /// Empty when the upstream did not answer. Never answers from inside itself.
  void ReadReport(const endpoint& address, report_fn done);
  void SendOrder(const endpoint& address, const upstream_order& order,
                 order_done_fn done);

 private:
  timed_http_client calls_;
};

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_CONTROL_SKYLARKCROFT_ORDER_CLIENT_H_
