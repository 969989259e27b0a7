#ifndef STANDINS_PLATFORM_SKYLARKCROFT_LAGGING_HOST_LIST_H_
#define STANDINS_PLATFORM_SKYLARKCROFT_LAGGING_HOST_LIST_H_

#include <cstdint>
#include <map>
#include <vector>

#include "skylarkcroft/internal/skylarkcroft_time.h"
#include "skylarkcroft/platform/skylarkcroft_host_list.h"

namespace skylarkcroft::standin {

/// The list at one instant; `version` counts its changes.
struct host_list_snapshot {
  int64_t version = 0;
  std::vector<listed_host> hosts;

  bool operator==(const host_list_snapshot&) const = default;
};

/// The hosts that exist, shown with a lag. Changes may be announced for later
/// instants. `now` must not go back between calls.
class lagging_host_list {
 public:
  explicit lagging_host_list(duration lag) : lag_(lag) {}

  /// From `at` on, the list is `hosts`.
  void Replace(std::vector<listed_host> hosts, time_point at);
  void Add(const listed_host& host, time_point at);
  /// From `at` on, the same incarnation of `host` shows as leaving.
  void Leave(const listed_host& host, time_point at);
  void Remove(const listed_host& host, time_point at);

  /// What a reader of the list sees at `now`.
  [[nodiscard]] host_list_snapshot Visible(time_point now);
  /// What the list would show without its lag.
  [[nodiscard]] host_list_snapshot Truth(time_point now) const;

 private:
  enum class change_kind { kReplace, kAdd, kLeave, kRemove };
  struct change {
    change_kind kind;
    std::vector<listed_host> hosts;
  };

  static void Apply(const change& happened, host_list_snapshot& snapshot);

  duration lag_;
  /// Every change that is visible has been applied to it.
  host_list_snapshot visible_;
  std::multimap<time_point, change> pending_;
};

}  // namespace skylarkcroft::standin

#endif  // STANDINS_PLATFORM_SKYLARKCROFT_LAGGING_HOST_LIST_H_
