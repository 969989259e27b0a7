#include "skylarkcroft/tables/skylarkcroft_edit_propagation.h"

#include "skylarkcroft/mesh/skylarkcroft_member_list.h"

namespace skylarkcroft {
namespace {

bool SilentSince(const member& known, time_point since) {
  return !known.last_heard_at || *known.last_heard_at < since;
}

}  // namespace

edit_propagation AssessPropagation(const member_list& members,
                                   const tracked_edit& edit,
                                   milliseconds staleness_bound,
                                   time_point now) {
  edit_propagation propagation;
  std::vector<std::string> silent;
  for (const auto& [name, known] : members.all()) {
    if (known.revision >= edit.revision) {
      propagation.active_on.push_back(name);
      continue;
    }
    if (known.known_stopped()) {
      continue;
    }
    if (SilentSince(known, edit.accepted_at)) {
      silent.push_back(name);
    }
    propagation.pending.push_back(name);
  }
  const bool bound_exceeded = now - edit.accepted_at > staleness_bound;
  if (silent.size() == 1 && bound_exceeded) {
    std::erase(propagation.pending, silent.front());
    propagation.stopped = silent;
  }
  return propagation;
}

std::vector<std::string> MembersToAwait(const edit_propagation& propagation,
                                        const member_list& members) {
  std::vector<std::string> awaited;
  for (const std::string& name : propagation.pending) {
    if (members.Find(name)->state != member_state::kRemoved) {
      awaited.push_back(name);
    }
  }
  return awaited;
}

}  // namespace skylarkcroft
