#ifndef SKYLARKCROFT_LIMITS_SKYLARKCROFT_PEER_CLAIMS_H_
#define SKYLARKCROFT_LIMITS_SKYLARKCROFT_PEER_CLAIMS_H_

#include <cstddef>
#include <optional>

#include "skylarkcroft/internal/skylarkcroft_time.h"
#include "skylarkcroft/limits/skylarkcroft_caller_limiter.h"

namespace skylarkcroft {

class mesh;

/// Time between two updates of the parts; claims travel within it.
inline constexpr milliseconds kLimitsPeriod{1000};

/// What the mesh tells of the other nodes' claims. `expected` is the number of
/// other nodes known from the settings; those not found count as silent. Empty
/// while the node does not know enough to take a part.
std::optional<limit_peers> PeersOf(const mesh& part, size_t expected,
                                   time_point now);

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_LIMITS_SKYLARKCROFT_PEER_CLAIMS_H_
