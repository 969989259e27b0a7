#ifndef SKYLARKCROFT_PLACEMENT_SKYLARKCROFT_ENGINE_COSTS_H_
#define SKYLARKCROFT_PLACEMENT_SKYLARKCROFT_ENGINE_COSTS_H_

#include <cstdint>

#include "skylarkcroft/internal/skylarkcroft_time.h"
#include "skylarkcroft/placement/skylarkcroft_load_balancer_parameters.h"
#include "skylarkcroft/placement/skylarkcroft_slowness_evidence.h"

namespace skylarkcroft {

/// The costs of work at one engine, in the scale of milliseconds.
class engine_costs {
 public:
  /// `parameters` must outlive the object.
  engine_costs(const load_balancer_parameters& parameters,
               const engine_slowness& slowness)
      : parameters_(parameters), slowness_(slowness) {}

  [[nodiscard]] double PrefillMs(int64_t tokens) const;
  /// Expected time to the first token of a request with `tokens` to prefill
  /// before it, its own included.
  [[nodiscard]] milliseconds FirstToken(int64_t tokens) const;
  /// Cost to the running streams of the stall that a prefill causes.
  [[nodiscard]] double Stall(int64_t tokens, int running) const;
  /// Cost of one running request to the others at an engine with `slots` batch
  /// slots.
  [[nodiscard]] double Running(int slots) const;
  /// Of `slots` batch slots, those that requests are planned for: in a full
  /// batch of a slow engine the pauses of each stream are too long.
  [[nodiscard]] int UsableSlots(int slots) const;

 private:
  const load_balancer_parameters& parameters_;
  engine_slowness slowness_;
};

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_PLACEMENT_SKYLARKCROFT_ENGINE_COSTS_H_
