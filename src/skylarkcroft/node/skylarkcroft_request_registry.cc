#include "skylarkcroft/node/skylarkcroft_request_registry.h"

#include <algorithm>
#include <utility>

namespace skylarkcroft {

request_entry& request_registry::Add(request_entry entry) {
  std::string id = entry.id;
  return entries_.insert_or_assign(std::move(id), std::move(entry))
      .first->second;
}

request_entry* request_registry::Find(const std::string& id) {
  const auto found = entries_.find(id);
  return found == entries_.end() ? nullptr : &found->second;
}

void request_registry::Remove(const std::string& id) { entries_.erase(id); }

void request_registry::DropExpired(time_point now, duration retention) {
  std::erase_if(entries_, [&](const auto& item) {
    const request_entry& entry = item.second;
    return entry.result->ended() && !entry.result->HasReaders() &&
           now - entry.unread_since > retention;
  });
}

std::vector<std::string> request_registry::Abandoned(time_point now,
                                                     duration limit) const {
  std::vector<std::string> ids;
  for (const auto& [id, entry] : entries_) {
    if (entry.result->ended() || entry.result->HasReaders() ||
        !entry.idempotent || entry.deferred) {
      continue;
    }
    if (now - entry.unread_since > limit) {
      ids.push_back(id);
    }
  }
  return ids;
}

size_t request_registry::active() const {
  return static_cast<size_t>(std::count_if(
      entries_.begin(), entries_.end(),
      [](const auto& item) { return !item.second.result->ended(); }));
}

size_t request_registry::active_read() const {
  return static_cast<size_t>(
      std::count_if(entries_.begin(), entries_.end(), [](const auto& item) {
        return !item.second.result->ended() && !item.second.deferred;
      }));
}

}  // namespace skylarkcroft
