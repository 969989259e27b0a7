#ifndef SKYLARKCROFT_TESTS_RELAY_SOAK_SOAK_RUN_H_
#define SKYLARKCROFT_TESTS_RELAY_SOAK_SOAK_RUN_H_

#include <cstdint>
#include <string>
#include <vector>

#include "skylarkcroft/internal/skylarkcroft_time.h"

namespace skylarkcroft::soak {

/// One run of the soak. The seed fixes which faults come in which order; their
/// effects depend on the machine.
struct soak_terms {
  std::string program;  ///< Path of the built relay.
  std::string folder;   ///< Settings and logs of the nodes, left behind.
  uint32_t seed = 1;
  milliseconds span{12000};  ///< With faults; a calm end follows.
  size_t nodes = 4;
  size_t clients = 24;
  /// Only signals, drains and changes of the tables, no faults.
  bool planned_only = false;
  /// Sound upstreams pause for a second or two, one after the other.
  bool pauses = false;

  bool operator==(const soak_terms&) const = default;
};

struct soak_verdict {
  std::vector<std::string> violations;
  std::vector<std::string> faults;  ///< What was done, in order.
  size_t requests = 0;
  size_t served = 0;
  size_t runs = 0;
};

/// Runs relays as processes of their own before upstreams, clients and the
/// platform's stand-in in this process, harms them, and checks the promises
/// from what clients, upstreams and the platform saw.
soak_verdict RunSoak(const soak_terms& terms);

}  // namespace skylarkcroft::soak

#endif  // SKYLARKCROFT_TESTS_RELAY_SOAK_SOAK_RUN_H_
