#include "skylarkcroft/relay/skylarkcroft_binding_limits.h"

#include <algorithm>

namespace skylarkcroft {

void binding_limits::OnChange(const client_limits& in_force) {
  limits_.max_head_bytes =
      std::max(limits_.max_head_bytes, in_force.max_head_bytes);
  limits_.max_body_bytes =
      std::max(limits_.max_body_bytes, in_force.max_body_bytes);
  limits_.head_timeout = std::max(limits_.head_timeout, in_force.head_timeout);
  limits_.idle_timeout = std::max(limits_.idle_timeout, in_force.idle_timeout);
}

}  // namespace skylarkcroft
