#ifndef SKYLARKCROFT_ATTEMPT_SKYLARKCROFT_OUTCOME_POLLER_H_
#define SKYLARKCROFT_ATTEMPT_SKYLARKCROFT_OUTCOME_POLLER_H_

#include <functional>
#include <optional>
#include <string>

#include "skylarkcroft/http/skylarkcroft_http_client.h"
#include "skylarkcroft/internal/skylarkcroft_event_loop.h"
#include "skylarkcroft/internal/skylarkcroft_time.h"

namespace skylarkcroft {

/// Polls a plain service for the outcome of the request with an idempotency
/// key, until the service returns it or the time limit is reached. A service
/// that doesn't know the key is polled again, since the request may still be on
/// its way.
class outcome_poller {
 public:
  using done_fn = std::function<void(const std::optional<http_response>&)>;

  outcome_poller(event_loop& loop, http_client& client, endpoint service,
                 const std::string& idempotency_key, time_point until,
                 clock_fn clock, done_fn done);

  /// Sends a poll; OnResponse schedules the further ones. At the end `done`
  /// gets the outcome, or nothing when it is still unknown at `until`.
  void Start();

 private:
  void OnResponse(const http_result& result);

  event_loop& loop_;
  http_client& client_;
  endpoint service_;
  std::string target_;
  time_point until_;
  clock_fn clock_;
  done_fn done_;
  http_call_ptr call_;
  event_loop::handle_ptr timer_;
};

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_ATTEMPT_SKYLARKCROFT_OUTCOME_POLLER_H_
