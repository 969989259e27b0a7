#ifndef SKYLARKCROFT_ROUTING_SKYLARKCROFT_HEALTH_PROBER_H_
#define SKYLARKCROFT_ROUTING_SKYLARKCROFT_HEALTH_PROBER_H_

#include <map>

#include "skylarkcroft/http/skylarkcroft_http_client.h"
#include "skylarkcroft/internal/skylarkcroft_event_loop.h"
#include "skylarkcroft/internal/skylarkcroft_time.h"
#include "skylarkcroft/routing/skylarkcroft_upstream_key.h"

namespace skylarkcroft {

class upstream_directory;
struct probe_target;

/// Sends `GET /health` on a new connection to every upstream that the directory
/// reports as due for a probe. Any response with a status below 500 passes.
/// Idle connections to a probed upstream are closed, since they may be the
/// cause of the failures.
class health_prober {
 public:
  health_prober(event_loop& loop, http_client& client,
                upstream_directory& directory, milliseconds period,
                clock_fn clock);

 private:
  void ProbeAll();
  void Probe(const probe_target& target);
  void OnResponse(const upstream_key& key, const http_result& result);

  event_loop& loop_;
  http_client& client_;
  upstream_directory& directory_;
  clock_fn clock_;
  std::map<upstream_key, http_call_ptr> calls_;
  event_loop::handle_ptr timer_;
};

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_ROUTING_SKYLARKCROFT_HEALTH_PROBER_H_
