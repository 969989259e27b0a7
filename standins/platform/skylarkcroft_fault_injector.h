#ifndef STANDINS_PLATFORM_SKYLARKCROFT_FAULT_INJECTOR_H_
#define STANDINS_PLATFORM_SKYLARKCROFT_FAULT_INJECTOR_H_

#include <array>
#include <cstdint>
#include <random>
#include <string_view>

#include "skylarkcroft/internal/skylarkcroft_time.h"
#include "standins/platform/skylarkcroft_service_kind.h"

namespace skylarkcroft::standin {

enum class fault_mode {
  kNone,
  kOutage,      ///< Answers 500 without effect.
  kHang,        ///< Never answers; no effect.
  kDelay,       ///< Applies and answers the call after a delay.
  kLoseAnswer,  ///< Applies the call and closes the connection.
  kThrottle,    ///< Answers that the rate was exceeded; no effect.
};

/// The mode called `name` in the administration calls; throws config_error
/// with `path` on another name.
fault_mode ParseFaultMode(std::string_view name, const std::string& path);

/// A fault that is switched on for one service.
struct fault {
  fault_mode mode = fault_mode::kNone;
  milliseconds delay{0};
  /// Share of the calls that fail.
  double probability = 1;
  /// Calls after which the fault ends; 0 is never.
  int64_t count = 0;

  bool operator==(const fault&) const = default;
};

/// Decides for each call whether and how it fails. Every service draws from a
/// generator of its own, so that calls to one do not disturb another.
class fault_injector {
 public:
  explicit fault_injector(uint64_t seed);

  void Set(service_kind kind, const fault& wanted);
  /// The fault for the next call to `kind`; mode kNone lets it pass.
  fault Next(service_kind kind);

 private:
  struct service_state {
    fault wanted;
    int64_t calls_left = 0;
    std::mt19937_64 generator;
  };

  std::array<service_state, kAllServices.size()> services_;
};

}  // namespace skylarkcroft::standin

#endif  // STANDINS_PLATFORM_SKYLARKCROFT_FAULT_INJECTOR_H_
