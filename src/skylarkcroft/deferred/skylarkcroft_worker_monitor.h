#ifndef SKYLARKCROFT_DEFERRED_SKYLARKCROFT_WORKER_MONITOR_H_
#define SKYLARKCROFT_DEFERRED_SKYLARKCROFT_WORKER_MONITOR_H_

#include <cstdint>
#include <map>
#include <string>

#include "skylarkcroft/internal/skylarkcroft_time.h"

namespace skylarkcroft {

/// Detects from their heartbeat rows which other workers have stopped: those
/// whose row's version this node has seen unchanged for the lease time. Uses
/// this node's monotonic clock only, so that clock skew doesn't matter.
class worker_monitor {
 public:
  explicit worker_monitor(duration lease) : lease_(lease) {}

  /// Records the `version` that the row of `worker` had at `now`; 0 for no row.
  void OnHeartbeatRead(const std::string& worker, int64_t version,
                       time_point now);
  /// True when `worker` counts as stopped, so that its requests may be taken
  /// over. False for a worker whose row was never read.
  [[nodiscard]] bool HasStopped(const std::string& worker,
                                time_point now) const;

 private:
  struct row_observation {
    int64_t version = 0;
    time_point since{};
  };

  duration lease_;
  std::map<std::string, row_observation> observations_;
};

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_DEFERRED_SKYLARKCROFT_WORKER_MONITOR_H_
