#ifndef SKYLARKCROFT_PLACEMENT_SKYLARKCROFT_UPSTREAM_ANNOUNCEMENTS_H_
#define SKYLARKCROFT_PLACEMENT_SKYLARKCROFT_UPSTREAM_ANNOUNCEMENTS_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "skylarkcroft/internal/skylarkcroft_time.h"
#include "skylarkcroft/placement/skylarkcroft_upstream_entry.h"

namespace skylarkcroft {

/// What upstreams have told this node in their responses: that they leave, and
/// for how long they want no requests from it. Kept for each process, whatever
/// the store lists meanwhile.
class upstream_announcements {
 public:
  /// The upstream leaves; it may take requests that end before `serves_until`.
  /// Only the first time counts; returns whether it is this one.
  bool RecordLeaving(const upstream_entry& entry, time_point serves_until,
                     time_point now);
  /// The upstream wants no requests before `until`.
  void RecordPause(const upstream_entry& entry, time_point until,
                   time_point now);

  /// The upstream has stated when it exits, whatever it runs then: at
  /// `exits_at` at the earliest. The earliest time told counts.
  void RecordExit(const upstream_entry& entry, time_point exits_at,
                  time_point now);
  /// From when on the upstream may exit; empty if it has not stated it.
  [[nodiscard]] std::optional<time_point> ExitsAt(
      const upstream_entry& entry) const;

  /// Until when a leaving upstream may take requests; empty if it has not told
  /// that it leaves.
  [[nodiscard]] std::optional<time_point> ServesUntil(
      const upstream_entry& entry) const;
  /// Until when the upstream wants no requests; empty if it takes some.
  [[nodiscard]] std::optional<time_point> PausedUntil(
      const upstream_entry& entry, time_point now) const;

 private:
  struct announcement {
    int64_t incarnation = 0;
    std::optional<time_point> serves_until;
    std::optional<time_point> paused_until;
    std::optional<time_point> exits_at;
    time_point told_at{};
  };

  /// The announcement of the process of `entry`; a new one where another
  /// process is known.
  announcement& For(const upstream_entry& entry, time_point now);
  [[nodiscard]] const announcement* Find(const upstream_entry& entry) const;
  void DropOld(time_point now);

  std::map<std::string, announcement> announcements_;
};

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_PLACEMENT_SKYLARKCROFT_UPSTREAM_ANNOUNCEMENTS_H_
