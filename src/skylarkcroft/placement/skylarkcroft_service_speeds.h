#ifndef SKYLARKCROFT_PLACEMENT_SKYLARKCROFT_SERVICE_SPEEDS_H_
#define SKYLARKCROFT_PLACEMENT_SKYLARKCROFT_SERVICE_SPEEDS_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <unordered_map>
#include <vector>

#include "skylarkcroft/internal/skylarkcroft_time.h"
#include "skylarkcroft/placement/skylarkcroft_slowness_evidence.h"
#include "skylarkcroft/placement/skylarkcroft_speed_samples.h"

namespace skylarkcroft {

/// Estimates for one kind of work how slow each engine of one service is
/// relative to the median engine. The engines' load is accounted for by a slope
/// that is common to the service and is fitted to the variation within each
/// engine: comparing engines at the same load would need engines of both kinds
/// at that load, and a slow engine is rarely as loaded as a fast one.
class service_speeds {
 public:
  /// Evidence of the peers on the engine with this key.
  using peer_evidence = std::function<slowness_evidence(uint32_t)>;

  void Record(uint32_t engine, const speed_sample& sample, time_point now);
  void Forget(uint32_t engine) { engines_.erase(engine); }
  /// Computes the estimates of `engines` anew and forgets all others.
  void Update(const std::vector<uint32_t>& engines, const peer_evidence& peers,
              time_point now);

  /// What this node alone has measured, as of the last Update().
  [[nodiscard]] slowness_evidence Own(uint32_t engine) const;
  /// Evidence of all nodes as of the last Update(): the median over the last
  /// kMaxHistory updates. Of the weight of evidence that is not reported any
  /// more, half is kept after kHeldHalfLife.
  [[nodiscard]] slowness_evidence Combined(uint32_t engine) const;
  /// The factor on the median engine's time; 1 while it is not known or close
  /// to 1.
  [[nodiscard]] double Slowness(uint32_t engine) const;

 private:
  struct engine_state {
    speed_samples samples;
    slowness_evidence own;
    /// log2(slowness) over all nodes at each of the last updates.
    std::deque<double> history;
    slowness_evidence combined;
    double slowness = 1;
  };
  struct measured_engine {
    engine_state* state = nullptr;
    std::vector<speed_sample> samples;
  };

  void UpdateOwn(time_point now);
  void Combine(const peer_evidence& peers, time_point now);
  /// Shifts all estimates so that their median is 1.
  void Center();
  /// By how much log_time rises with load.
  static double Slope(const std::vector<measured_engine>& measured);

  std::unordered_map<uint32_t, engine_state> engines_;
  time_point updated_at_{};
};

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_PLACEMENT_SKYLARKCROFT_SERVICE_SPEEDS_H_
