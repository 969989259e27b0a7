#ifndef SKYLARKCROFT_DEFERRED_SKYLARKCROFT_WORKER_WATCH_H_
#define SKYLARKCROFT_DEFERRED_SKYLARKCROFT_WORKER_WATCH_H_

#include <cstdint>
#include <map>
#include <string>

#include "skylarkcroft/internal/skylarkcroft_time.h"

namespace skylarkcroft {

/// Tells from the heartbeat rows of other workers which of them have stopped.
/// Only this node's monotonic clock counts: a worker has stopped when its row
/// has not changed for the whole lease time while this node looked.
class worker_watch {
 public:
  explicit worker_watch(duration lease) : lease_(lease) {}

  /// Notes that the row of `worker` had `version` at `now`; 0 for no row.
  void Note(const std::string& worker, int64_t version, time_point now);
  /// True when the requests of `worker` may be taken over.
  [[nodiscard]] bool Stopped(const std::string& worker, time_point now) const;

 private:
  struct sighting {
    int64_t version = 0;
    time_point since{};
  };

  duration lease_;
  std::map<std::string, sighting> seen_;
};

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_DEFERRED_SKYLARKCROFT_WORKER_WATCH_H_
