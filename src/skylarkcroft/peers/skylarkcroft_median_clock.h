#ifndef SKYLARKCROFT_PEERS_SKYLARKCROFT_MEDIAN_CLOCK_H_
#define SKYLARKCROFT_PEERS_SKYLARKCROFT_MEDIAN_CLOCK_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "skylarkcroft/internal/skylarkcroft_time.h"

namespace skylarkcroft {

/// Estimates the wall-clock time as the median of what this node and its peers
/// take for it, so that wrong clocks on a minority of hosts have no effect.
/// Nodes that run on hold on to their time by the monotonic clock, so that a
/// step of most clocks at once has none either, until it has lasted for
/// minutes.
class median_clock {
 public:
  /// Records that this host's clock showed `wall_ms`, in milliseconds since the
  /// Unix epoch, at `now`; to be called regularly.
  void RecordOwn(int64_t wall_ms, time_point now);
  /// Records what a peer takes for the time, from a report that arrived at
  /// `now`.
  void OnPeerReport(const std::string& peer, int64_t wall_ms, time_point now);

  /// Milliseconds since the Unix epoch at `now` as this node tells its peers:
  /// its own clock's, unless that was stepped lately.
  [[nodiscard]] int64_t OwnMs(time_point now) const;
  /// Milliseconds since the Unix epoch at `now`: the median of OwnMs() and what
  /// peers have reported recently.
  [[nodiscard]] int64_t NowMs(time_point now) const;
  /// Number of peers whose readings are kept.
  [[nodiscard]] size_t size() const { return peers_.size(); }

 private:
  struct reading {
    /// Wall-clock time minus this process's monotonic clock.
    int64_t offset_ms = 0;
    time_point read_at{};
  };

  reading own_;
  std::optional<time_point> started_at_;
  /// Whether this node has taken over the common time after its start.
  bool settled_ = false;
  /// Since when this host's clock has differed from what this node tells.
  std::optional<time_point> differs_since_;
  std::map<std::string, reading> peers_;
};

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_PEERS_SKYLARKCROFT_MEDIAN_CLOCK_H_
