#include "load/skylarkcroft_upstream_poll.h"

#include "skylarkcroft/http/skylarkcroft_http_client.h"
#include "skylarkcroft/internal/skylarkcroft_error.h"
#include "skylarkcroft/internal/skylarkcroft_event_loop.h"

namespace skylarkcroft::load {
namespace {

upstream_stats ReadOne(event_loop& loop, http_client& client,
                       const endpoint& upstream) {
  http_result ended;
  const http_call_ptr call =
      client.Send(upstream, {"GET", "/admin/stats", {}, ""}, {},
                  {{}, {}, [&](const http_result& result) {
                     ended = result;
                     loop.Stop();
                   }});
  loop.Run();
  if (!ended.Ok()) {
    throw network_error("no stats from " + ToString(upstream),
                        "give the addresses of running stand-ins");
  }
  return ParseUpstreamStats(ended.response.body);
}

}  // namespace

std::vector<upstream_stats> ReadUpstreamStats(
    event_loop& loop, const std::vector<endpoint>& upstreams) {
  http_client client(loop);
  std::vector<upstream_stats> stats;
  stats.reserve(upstreams.size());
  for (const endpoint& upstream : upstreams) {
    stats.push_back(ReadOne(loop, client, upstream));
  }
  return stats;
}

}  // namespace skylarkcroft::load
