#ifndef SKYLARKCROFT_ADMISSION_SKYLARKCROFT_CONCURRENCY_WINDOW_H_
#define SKYLARKCROFT_ADMISSION_SKYLARKCROFT_CONCURRENCY_WINDOW_H_

#include <cstdint>
#include <optional>

#include "skylarkcroft/internal/skylarkcroft_time.h"

namespace skylarkcroft {

/// What a node sees of a pool at one time.
struct pool_sample {
  /// Slots of the upstreams that take requests.
  int64_t slots = 0;
  /// Sums over the upstreams' load reports, so from all nodes.
  int64_t reported_running = 0;
  int64_t reported_waiting = 0;
  /// Of this node.
  int64_t running = 0;
  int64_t queued = 0;
  int64_t live_nodes = 1;

  bool operator==(const pool_sample&) const = default;
};

/// Requests that this node may have running in a pool. It starts with an equal
/// part of the slots for each live node. While the upstreams report more
/// requests than their slots need, the nodes together run too many, and the
/// window shrinks in proportion; while they report fewer and some wait here, it
/// grows. All nodes see the same reports, so their windows approach each other.
class concurrency_window {
 public:
  /// Takes in a sample; called once every kSamplePeriod.
  void Update(const pool_sample& sample, time_point now);
  /// Whole slots, at least one while the pool has any.
  [[nodiscard]] int64_t limit() const;

 private:
  void FollowSlots(const pool_sample& sample);
  void Adapt(const pool_sample& sample, time_point now);

  double limit_ = 0;
  int64_t slots_ = 0;
  int64_t live_nodes_ = 1;
  /// Reports before this do not show the last change yet.
  std::optional<time_point> settled_at_;
};

/// Time between two calls of concurrency_window::Update().
inline constexpr milliseconds kSamplePeriod{250};

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_ADMISSION_SKYLARKCROFT_CONCURRENCY_WINDOW_H_
