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
  kStaleFence,  ///< The upstream has accepted a higher fence.
  kUnknown,     ///< No usable response in time; read the state.
};

/// Sends orders to engines and reads their reports. A request that is not
/// completely answered within `timeout` is aborted by closing its connection.
class order_client {
 public:
  using report_fn = std::function<void(const std::optional<order_report>&)>;
  using order_done_fn = std::function<void(order_outcome)>;

  order_client(event_loop& loop, http_client& client, milliseconds timeout);

  /// Reads the order report of the upstream at `address`. `done` gets nothing
  /// when the response is missing, not a success or malformed, and is never
  /// called from within this call.
  void ReadReport(const endpoint& address, report_fn done);
  void SendOrder(const endpoint& address, const upstream_order& order,
                 order_done_fn done);

 private:
  timed_http_client calls_;
};

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_CONTROL_SKYLARKCROFT_ORDER_CLIENT_H_
