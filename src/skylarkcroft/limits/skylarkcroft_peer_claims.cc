#include "skylarkcroft/limits/skylarkcroft_peer_claims.h"

#include <algorithm>

#include "skylarkcroft/mesh/skylarkcroft_mesh.h"

namespace skylarkcroft {
namespace {

constexpr milliseconds kContactBound{3000};

claims_by_caller ClaimsOf(const mesh& part, const std::string& name) {
  const mesh_record* record = part.records().Find(name, kLimitsTopic);
  return record == nullptr ? claims_by_caller{} : DecodeClaims(record->payload);
}

}  // namespace

std::optional<limit_peers> PeersOf(const mesh& part, size_t expected,
                                   time_point now) {
  if (part.joining(now)) {
    return std::nullopt;
  }
  limit_peers peers;
  std::optional<time_point> last_heard;
  for (const auto& [name, known] : part.members().all()) {
    if (known.heard_at) {
      last_heard =
          std::max(last_heard.value_or(*known.heard_at), *known.heard_at);
    }
    if (known.gone()) {
      continue;
    }
    // While it drains it still holds what it claims.
    if (known.details.leaving && known.state != member_state::kAlive) {
      continue;
    }
    if (known.state == member_state::kRemoved) {
      ++peers.silent;
    } else if (known.state == member_state::kSuspect) {
      peers.suspect.push_back(ClaimsOf(part, name));
    } else {
      peers.reachable.push_back(ClaimsOf(part, name));
    }
  }
  const size_t found = part.members().all().size();
  peers.silent += expected > found ? expected - found : 0;
  const bool alone = found == 0 && expected == 0;
  peers.in_contact =
      alone || (last_heard && now - *last_heard <= kContactBound);
  return peers;
}

}  // namespace skylarkcroft
