#include "skylarkcroft/mesh/skylarkcroft_member_list.h"

#include <algorithm>

namespace skylarkcroft {

void member_list::HandleMemberRecord(const mesh_record& record,
                                     const member_details& details,
                                     time_point now) {
  member& known = members_[record.publisher];
  const bool first = known.name.empty();
  if (first || record.incarnation > known.incarnation) {
    known = {};
    known.name = record.publisher;
  }
  known.incarnation = record.incarnation;
  known.version = record.version;
  known.details = details;
  if (first || known.state != member_state::kAlive) {
    known.state = member_state::kAlive;
    known.since = now;
    known.host_terminated = false;
  }
}

void member_list::RecordMessage(const std::string& name, int64_t incarnation,
                                int64_t revision, time_point now) {
  const auto known = members_.find(name);
  if (known == members_.end() || known->second.incarnation != incarnation) {
    return;
  }
  known->second.last_heard_at = now;
  known->second.revision = std::max(known->second.revision, revision);
}

bool member_list::Suspect(const std::string& name, int64_t incarnation,
                          int64_t version, time_point now) {
  const auto found = members_.find(name);
  if (found == members_.end()) {
    return false;
  }
  member& known = found->second;
  if (known.state != member_state::kAlive || known.incarnation != incarnation ||
      known.version > version) {
    return false;
  }
  known.state = member_state::kSuspect;
  known.since = now;
  return true;
}

void member_list::RecordHostTerminated(const std::string& name) {
  const auto known = members_.find(name);
  if (known != members_.end() &&
      known->second.state == member_state::kRemoved) {
    known->second.host_terminated = true;
  }
}

std::vector<std::string> member_list::Tick(time_point now) {
  std::vector<std::string> forgotten;
  for (auto& [name, known] : members_) {
    if (known.state == member_state::kSuspect &&
        now - known.since >= timeouts_.suspect_timeout) {
      known.state = member_state::kRemoved;
      known.since = now;
    }
    if (known.state == member_state::kRemoved &&
        now - known.since >= timeouts_.forget_after) {
      forgotten.push_back(name);
    }
  }
  for (const std::string& name : forgotten) {
    members_.erase(name);
  }
  return forgotten;
}

const member* member_list::Find(const std::string& name) const {
  const auto found = members_.find(name);
  return found == members_.end() ? nullptr : &found->second;
}

const member* member_list::FindAt(const endpoint& mesh_address) const {
  for (const auto& [name, known] : members_) {
    if (known.state != member_state::kRemoved &&
        known.details.mesh == mesh_address) {
      return &known;
    }
  }
  return nullptr;
}

size_t member_list::active_count() const {
  return static_cast<size_t>(
      std::count_if(members_.begin(), members_.end(), [](const auto& entry) {
        return entry.second.state != member_state::kRemoved;
      }));
}

}  // namespace skylarkcroft
