#ifndef SKYLARKCROFT_STANDINS_ENGINE_ENGINE_OPTIONS_H_
#define SKYLARKCROFT_STANDINS_ENGINE_ENGINE_OPTIONS_H_

#include <cstdint>
#include <string>

#include "skylarkcroft/internal/skylarkcroft_endpoint.h"
#include "skylarkcroft/internal/skylarkcroft_time.h"
#include "standins/engine/batch_scheduler.h"
#include "standins/engine/order_state.h"

namespace skylarkcroft::standin {

/// How one engine stand-in behaves.
struct engine_options {
  endpoint listen{"127.0.0.1", 0};
  uint64_t seed = 1;
  batch_speeds speeds;
  /// Requests that may wait for a slot before further ones are refused.
  int max_waiting = 256;
  int64_t prefix_cache_tokens = 65536;
  milliseconds load_lag{500};
  milliseconds event_lag{500};
  /// Probability that a cache event is lost.
  double event_loss = 0;
  fencing_mode fencing = fencing_mode::kChecked;
  /// Time that loading a model, version or adapter takes.
  milliseconds model_load_time{2000};
  /// The model loaded at first; empty serves any model's name.
  std::string model;
  std::string availability_zone;
};

}  // namespace skylarkcroft::standin

#endif  // SKYLARKCROFT_STANDINS_ENGINE_ENGINE_OPTIONS_H_
