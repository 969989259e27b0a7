#include "skylarkcroft/deferred/skylarkcroft_worker_monitor.h"

namespace skylarkcroft {

void worker_monitor::OnHeartbeatRead(const std::string& worker, int64_t version,
                                     time_point now) {
  const auto [found, is_new] =
      observations_.try_emplace(worker, row_observation{version, now});
  if (!is_new && found->second.version != version) {
    found->second = {version, now};
  }
}

bool worker_monitor::HasStopped(const std::string& worker,
                                time_point now) const {
  const auto found = observations_.find(worker);
  return found != observations_.end() && now - found->second.since >= lease_;
}

}  // namespace skylarkcroft
