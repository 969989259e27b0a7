#ifndef SKYLARKCROFT_PLACEMENT_SKYLARKCROFT_UPSTREAM_SPEEDS_H_
#define SKYLARKCROFT_PLACEMENT_SKYLARKCROFT_UPSTREAM_SPEEDS_H_

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "skylarkcroft/internal/skylarkcroft_time.h"
#include "skylarkcroft/placement/skylarkcroft_service_speeds.h"
#include "skylarkcroft/placement/skylarkcroft_slowness_evidence.h"

namespace skylarkcroft {

/// An engine whose estimated speed has changed noticeably.
struct speed_change {
  std::string upstream;
  engine_slowness slowness;
  /// Measurement windows behind the estimate, over all nodes.
  speed_evidence evidence;

  bool operator==(const speed_change&) const = default;
};

/// Estimates the speeds of all engines relative to their services. Lookups are
/// cheap; the estimates are computed anew once per kUpdatePeriod.
class upstream_speeds {
 public:
  /// Evidence of the peers on the engine with this key.
  using peer_evidence = std::function<speed_evidence(uint32_t)>;
  struct engine {
    std::string id;
    std::string service;
    uint32_t key = 0;
    int slots = 0;  ///< Batch slots.

    bool operator==(const engine&) const = default;
  };

  /// Records the time from a request to its first event; `expected` is the time
  /// that the cost model expects of the median engine.
  void RecordFirstEvent(const engine& at, milliseconds waited,
                        milliseconds expected, int running, time_point now);
  /// Records `count` events of one stream that took `elapsed` since the event
  /// before.
  void RecordEvents(const engine& at, duration elapsed, size_t count,
                    int running, time_point now);
  /// The engine is another process.
  void Forget(const std::string& service, uint32_t key);
  [[nodiscard]] bool IsUpdateDue(time_point now) const {
    return now - updated_at_ >= kUpdatePeriod;
  }
  /// Computes the estimates of `engines`, and returns those that have changed
  /// noticeably since they were last returned.
  std::vector<speed_change> Update(const std::vector<engine>& engines,
                                   const peer_evidence& peers, time_point now);

  [[nodiscard]] engine_slowness Slowness(const std::string& service,
                                         uint32_t key) const;
  /// What this node has measured itself, for its peers.
  [[nodiscard]] speed_evidence Own(const std::string& service,
                                   uint32_t key) const;

 private:
  static constexpr milliseconds kUpdatePeriod{1000};

  struct service_state {
    service_speeds prefill;
    service_speeds tokens;
  };

  std::map<std::string, service_state> services_;
  /// The estimates that Update() last returned, by id.
  std::map<std::string, engine_slowness> told_;
  time_point updated_at_{};
};

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_PLACEMENT_SKYLARKCROFT_UPSTREAM_SPEEDS_H_
