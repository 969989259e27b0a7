#ifndef SKYLARKCROFT_ADMISSION_SKYLARKCROFT_CONCURRENCY_WINDOW_H_
#define SKYLARKCROFT_ADMISSION_SKYLARKCROFT_CONCURRENCY_WINDOW_H_

#include <cstdint>
#include <optional>

#include "skylarkcroft/internal/skylarkcroft_time.h"

namespace skylarkcroft {

/// State of a pool as one node sees it at one time.
struct pool_sample {
  /// Slots of the upstreams that accept requests.
  int64_t slots = 0;
  /// Sums over the upstreams' load reports, which include the requests of all
  /// nodes.
  int64_t reported_running = 0;
  int64_t reported_waiting = 0;
  /// Requests of this node.
  int64_t running = 0;
  int64_t queued = 0;
  int64_t live_nodes = 1;

  bool operator==(const pool_sample&) const = default;
};

/// Limit on the requests that this node may have running in a pool. It starts
/// with an equal share of the slots for each live node. While the upstreams
/// report more requests than their slots need, the nodes together run too many,
/// and the limit shrinks in proportion. While they report fewer and this node
/// has queued requests, it grows. All nodes see the same reports, so their
/// limits converge.
class concurrency_window {
 public:
  /// Adjusts the limit to a sample; called once every kSamplePeriod.
  void Update(const pool_sample& sample, time_point now);
  /// The limit in requests; at least 1 while the pool has any slots.
  [[nodiscard]] int64_t limit() const;

 private:
  void RescaleToSlots(const pool_sample& sample);
  void AdaptToLoad(const pool_sample& sample, time_point now);

  double limit_ = 0;
  int64_t slots_ = 0;
  int64_t live_nodes_ = 1;
  /// Load reports before this time may not show the last change of the limit.
  std::optional<time_point> reports_current_at_;
};

/// Time between two calls of concurrency_window::Update().
inline constexpr milliseconds kSamplePeriod{250};

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_ADMISSION_SKYLARKCROFT_CONCURRENCY_WINDOW_H_
