#ifndef SKYLARKCROFT_ROUTING_SKYLARKCROFT_UPSTREAM_KEY_H_
#define SKYLARKCROFT_ROUTING_SKYLARKCROFT_UPSTREAM_KEY_H_

#include <compare>
#include <string>

namespace skylarkcroft {

/// Identifies one upstream of one pool.
struct upstream_key {
  std::string pool;
  std::string upstream;

  auto operator<=>(const upstream_key&) const = default;
};

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_ROUTING_SKYLARKCROFT_UPSTREAM_KEY_H_
