#include "skylarkcroft/deferred/skylarkcroft_worker_watch.h"

namespace skylarkcroft {

void worker_watch::Note(const std::string& worker, int64_t version,
                        time_point now) {
  const auto [found, is_new] =
      seen_.try_emplace(worker, sighting{version, now});
  if (!is_new && found->second.version != version) {
    found->second = {version, now};
  }
}

bool worker_watch::Stopped(const std::string& worker, time_point now) const {
  const auto found = seen_.find(worker);
  return found != seen_.end() && now - found->second.since >= lease_;
}

}  // namespace skylarkcroft
