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

/// Asks `GET /health` on a new connection of every upstream on which the
/// directory wants a decision. Any answer below 500 passes. The connections
/// kept to an upstream that is probed are closed, since they may be the fault.
class health_prober {
 public:
  health_prober(event_loop& loop, http_client& client,
                upstream_directory& directory, milliseconds period,
                clock_fn clock);

 private:
  void ProbeAll();
  void Probe(const probe_target& target);
  void OnAnswer(const upstream_key& key, const http_result& result);

  event_loop& loop_;
  http_client& client_;
  upstream_directory& directory_;
  clock_fn clock_;
  std::map<upstream_key, http_call_ptr> calls_;
  event_loop::handle_ptr timer_;
};

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_ROUTING_SKYLARKCROFT_HEALTH_PROBER_H_
