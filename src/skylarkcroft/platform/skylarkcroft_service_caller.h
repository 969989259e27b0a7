#ifndef SKYLARKCROFT_PLATFORM_SKYLARKCROFT_SERVICE_CALLER_H_
#define SKYLARKCROFT_PLATFORM_SKYLARKCROFT_SERVICE_CALLER_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <unordered_map>

#include "skylarkcroft/http/skylarkcroft_http_client.h"

namespace skylarkcroft {

/// Longest time of a request, in timeouts.
inline constexpr int kTotalOfTimeouts = 3;

/// Sends requests to one platform service and keeps them until they end.
/// Destroying it cancels the requests under way; their `done` never runs.
class service_caller {
 public:
  using done_fn = std::function<void(const http_result&)>;

  /// `timeout` is the longest silence of the service within one request; the
  /// whole request may take kTotalOfTimeouts times as long.
  service_caller(http_client& client, endpoint address, milliseconds timeout);

  /// Never runs `done` from inside itself. `done` may destroy the caller.
  void Send(const http_request& request, done_fn done);
  /// The same for a request that ends within `limit`, whatever the timeout.
  void SendWithin(const http_request& request, milliseconds limit,
                  done_fn done);
  /// The same for a request that ends after `silence` without a byte, or after
  /// `total`.
  void SendWithin(const http_request& request, milliseconds silence,
                  milliseconds total, done_fn done);
  /// Where later requests go.
  void SetAddress(const endpoint& address) { address_ = address; }

 private:
  void Start(const http_request& request, const http_call_options& options,
             done_fn done);

  http_client& client_;
  endpoint address_;
  milliseconds timeout_;
  uint64_t next_id_ = 0;
  std::unordered_map<uint64_t, http_call_ptr> calls_;
};

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_PLATFORM_SKYLARKCROFT_SERVICE_CALLER_H_
