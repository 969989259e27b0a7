#ifndef SKYLARKCROFT_LOAD_SKYLARKCROFT_UPSTREAM_POLL_H_
#define SKYLARKCROFT_LOAD_SKYLARKCROFT_UPSTREAM_POLL_H_

#include <vector>

#include "load/skylarkcroft_upstream_stats.h"
#include "skylarkcroft/internal/skylarkcroft_endpoint.h"

namespace skylarkcroft {
class event_loop;
}  // namespace skylarkcroft

namespace skylarkcroft::load {

/// Reads the counters of all `upstreams` over `loop`, which must not be
/// running. Throws network_error when one does not answer.
std::vector<upstream_stats> ReadUpstreamStats(
    event_loop& loop, const std::vector<endpoint>& upstreams);

}  // namespace skylarkcroft::load

#endif  // SKYLARKCROFT_LOAD_SKYLARKCROFT_UPSTREAM_POLL_H_
