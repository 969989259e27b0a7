#ifndef STANDINS_PLATFORM_SKYLARKCROFT_PLATFORM_OPTIONS_H_
#define STANDINS_PLATFORM_SKYLARKCROFT_PLATFORM_OPTIONS_H_

#include <cstdint>

#include "skylarkcroft/internal/skylarkcroft_endpoint.h"
#include "skylarkcroft/internal/skylarkcroft_time.h"

namespace skylarkcroft::standin {

/// How the platform stand-in behaves. A rate of zero is no limit.
struct platform_options {
  endpoint listen{"127.0.0.1", 0};
  uint64_t seed = 1;
  milliseconds host_list_lag{0};
  /// Rates of the table service, and again of the object store.
  double writes_per_s = 0;
  double reads_per_s = 0;
  double weights_per_s = 0;
  /// Time from the start of a cloud host until it runs.
  milliseconds start_delay{0};

  bool operator==(const platform_options&) const = default;
};

}  // namespace skylarkcroft::standin

#endif  // STANDINS_PLATFORM_SKYLARKCROFT_PLATFORM_OPTIONS_H_
