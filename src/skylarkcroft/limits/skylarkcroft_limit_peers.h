#ifndef SKYLARKCROFT_LIMITS_SKYLARKCROFT_LIMIT_PEERS_H_
#define SKYLARKCROFT_LIMITS_SKYLARKCROFT_LIMIT_PEERS_H_

#include <cstddef>
#include <optional>

#include "skylarkcroft/internal/skylarkcroft_time.h"
#include "skylarkcroft/limits/skylarkcroft_caller_limiter.h"

namespace skylarkcroft {

class mesh;

/// Time between two updates of the allocations. Published allocations reach
/// the other nodes within it.
inline constexpr milliseconds kLimitUpdatePeriod{1000};

/// Collects the other nodes' published allocations from the mesh. `expected` is
/// the number of other nodes known from the settings; those that the mesh has
/// not found count as silent. Returns empty while the node is still joining the
/// mesh and cannot compute an allocation yet.
std::optional<limit_peers> CollectLimitPeers(const mesh& mesh_node,
                                             size_t expected, time_point now);

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_LIMITS_SKYLARKCROFT_LIMIT_PEERS_H_
