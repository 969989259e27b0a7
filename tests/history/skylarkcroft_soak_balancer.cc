#include "tests/history/skylarkcroft_soak_balancer.h"

#include <vector>

namespace skylarkcroft::history {

const soak_node& soak_balancer::Choose(std::mt19937_64& random) const {
  std::vector<const soak_node*> open;
  for (const soak_node& node : targets_.nodes) {
    const auto known = serving_.find(node.name);
    if (known != serving_.end() && known->second) {
      open.push_back(&node);
    }
  }
  if (open.empty()) {
    return targets_.nodes[random() % targets_.nodes.size()];
  }
  return *open[random() % open.size()];
}

}  // namespace skylarkcroft::history
