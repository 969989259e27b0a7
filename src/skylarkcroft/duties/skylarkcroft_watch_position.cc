#include "skylarkcroft/duties/skylarkcroft_watch_position.h"

#include "skylarkcroft/control/skylarkcroft_rendezvous.h"

namespace skylarkcroft {

size_t WatchPosition(const std::string& duty, const std::string& self,
                     const std::string& holder,
                     const std::vector<std::string>& members,
                     size_t watcher_count) {
  const size_t position = RendezvousPosition(duty, self, members);
  if (position >= watcher_count || self == holder) {
    return position;
  }
  std::vector<std::string> others = members;
  std::erase(others, holder);
  return RendezvousPosition(duty, self, others);
}

}  // namespace skylarkcroft
