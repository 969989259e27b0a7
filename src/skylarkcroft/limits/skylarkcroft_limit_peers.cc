#include "skylarkcroft/limits/skylarkcroft_limit_peers.h"

#include <algorithm>

#include "skylarkcroft/mesh/skylarkcroft_mesh.h"

namespace skylarkcroft {
namespace {

// Without a message from any member for this long the node counts as isolated.
constexpr milliseconds kContactTimeout{3000};

allocations_by_caller AllocationsOf(const mesh& mesh_node,
                                    const std::string& name) {
  const mesh_record* record = mesh_node.records().Find(name, kLimitsTopic);
  return record == nullptr ? allocations_by_caller{}
                           : DecodeAllocations(record->payload);
}

}  // namespace

std::optional<limit_peers> CollectLimitPeers(const mesh& mesh_node,
                                             size_t expected, time_point now) {
  if (mesh_node.joining(now)) {
    return std::nullopt;
  }
  limit_peers peers;
  std::optional<time_point> last_heard;
  for (const auto& [name, member] : mesh_node.members().all()) {
    if (member.last_heard_at) {
      last_heard = std::max(last_heard.value_or(*member.last_heard_at),
                            *member.last_heard_at);
    }
    if (member.known_stopped()) {
      continue;
    }
    // A draining node still uses its allocation for as long as it is alive.
    if (member.details.is_draining && member.state != member_state::kAlive) {
      continue;
    }
    if (member.state == member_state::kRemoved) {
      ++peers.silent;
    } else if (member.state == member_state::kSuspect) {
      peers.suspect.push_back(AllocationsOf(mesh_node, name));
    } else {
      peers.reachable.push_back(AllocationsOf(mesh_node, name));
    }
  }
  const size_t found = mesh_node.members().all().size();
  peers.silent += expected > found ? expected - found : 0;
  const bool alone = found == 0 && expected == 0;
  peers.in_contact =
      alone || (last_heard && now - *last_heard <= kContactTimeout);
  return peers;
}

}  // namespace skylarkcroft
