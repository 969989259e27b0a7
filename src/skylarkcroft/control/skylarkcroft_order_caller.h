#ifndef SKYLARKCROFT_CONTROL_SKYLARKCROFT_ORDER_CALLER_H_
#define SKYLARKCROFT_CONTROL_SKYLARKCROFT_ORDER_CALLER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>

#include "skylarkcroft/control/skylarkcroft_upstream_order.h"
#include "skylarkcroft/http/skylarkcroft_http_client.h"
#include "skylarkcroft/internal/skylarkcroft_endpoint.h"
#include "skylarkcroft/internal/skylarkcroft_event_loop.h"
#include "skylarkcroft/internal/skylarkcroft_time.h"

namespace skylarkcroft {

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
  order_caller(const order_caller&) = delete;
  order_caller& operator=(const order_caller&) = delete;

  /// Empty when the upstream did not answer. Never answers from inside itself.
  void Read(const endpoint& address, report_fn done);
  void Order(const endpoint& address, const upstream_order& order,
             ordered_fn done);

 private:
  using ended_fn = std::function<void(const std::optional<http_response>&)>;
  struct call {
    http_call_ptr sent;
    event_loop::handle_ptr limit;
  };

  void Send(const endpoint& address, const http_request& request,
            ended_fn done);
  /// Closes call `id` once the present callback has returned.
  void Drop(uint64_t id);

  event_loop& loop_;
  http_client& client_;
  milliseconds flight_;
  uint64_t next_id_ = 0;
  std::map<uint64_t, call> calls_;
};

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_CONTROL_SKYLARKCROFT_ORDER_CALLER_H_
