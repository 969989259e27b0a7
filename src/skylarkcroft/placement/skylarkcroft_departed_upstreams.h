#ifndef SKYLARKCROFT_PLACEMENT_SKYLARKCROFT_DEPARTED_UPSTREAMS_H_
#define SKYLARKCROFT_PLACEMENT_SKYLARKCROFT_DEPARTED_UPSTREAMS_H_

#include <cstdint>
#include <map>
#include <string>

#include "skylarkcroft/internal/skylarkcroft_time.h"
#include "skylarkcroft/placement/skylarkcroft_upstream_entry.h"

namespace skylarkcroft {

/// Remembers the upstreams that drained or were removed, so that entries of
/// theirs in an older copy of the store are recognized.
class departed_upstreams {
 public:
  /// The process of `entry` drains or was removed.
  void Record(const upstream_entry& entry, time_point now);
  /// A process registered under `id` and is ready.
  void Forget(const std::string& id) { departures_.erase(id); }
  /// Whether the process of `entry` was seen to leave.
  [[nodiscard]] bool Contains(const upstream_entry& entry) const;

 private:
  struct departure {
    int64_t incarnation = 0;
    time_point at{};
  };

  void DropOld(time_point now);

  std::map<std::string, departure> departures_;
};

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_PLACEMENT_SKYLARKCROFT_DEPARTED_UPSTREAMS_H_
