#ifndef SKYLARKCROFT_PEERS_SKYLARKCROFT_TRUE_TIME_H_
#define SKYLARKCROFT_PEERS_SKYLARKCROFT_TRUE_TIME_H_

#include <cstdint>
#include <map>
#include <string>

#include "skylarkcroft/internal/skylarkcroft_time.h"

namespace skylarkcroft {

/// Estimates wall time from this host's clock and those of its peers, so that
/// a clock that was set wrong on some hosts is outvoted.
class true_time {
 public:
  /// `wall_ms` as this host's clock showed it at `now`.
  void NoteOwn(int64_t wall_ms, time_point now);
  void NotePeer(const std::string& peer, int64_t wall_ms, time_point now);

  /// Milliseconds since the Unix epoch at `now`: the median of the clocks heard
  /// of late.
  [[nodiscard]] int64_t NowMs(time_point now) const;

 private:
  struct reading {
    /// Wall time less the monotonic clock of this process.
    int64_t offset_ms = 0;
    time_point heard{};
  };

  reading own_;
  std::map<std::string, reading> peers_;
};

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_PEERS_SKYLARKCROFT_TRUE_TIME_H_
