#ifndef SKYLARKCROFT_PEERS_SKYLARKCROFT_MEDIAN_CLOCK_H_
#define SKYLARKCROFT_PEERS_SKYLARKCROFT_MEDIAN_CLOCK_H_

#include <cstdint>
#include <map>
#include <string>

#include "skylarkcroft/internal/skylarkcroft_time.h"

namespace skylarkcroft {

/// Estimates the wall-clock time as the median of this host's clock and those
/// of its peers, so that wrong clocks on a minority of hosts have no effect.
class median_clock {
 public:
  /// Records that this host's clock showed `wall_ms`, in milliseconds since the
  /// Unix epoch, at `now`.
  void RecordOwn(int64_t wall_ms, time_point now);
  /// Records the clock of a peer from a report that arrived at `now`.
  void OnPeerReport(const std::string& peer, int64_t wall_ms, time_point now);

  /// Milliseconds since the Unix epoch at `now`: the median of this host's
  /// clock and the recently reported ones.
  [[nodiscard]] int64_t NowMs(time_point now) const;

 private:
  struct reading {
    /// Wall-clock time minus this process's monotonic clock.
    int64_t offset_ms = 0;
    time_point read_at{};
  };

  reading local_;
  std::map<std::string, reading> peers_;
};

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_PEERS_SKYLARKCROFT_MEDIAN_CLOCK_H_
