#ifndef SKYLARKCROFT_STANDINS_COMMON_FAULT_PLAN_H_
#define SKYLARKCROFT_STANDINS_COMMON_FAULT_PLAN_H_

#include <cstdint>
#include <optional>
#include <random>
#include <string_view>
#include <vector>

#include "skylarkcroft/internal/skylarkcroft_time.h"

namespace skylarkcroft::standin {

/// What goes wrong with a request; docs/upstream-protocol.md describes each.
enum class fault_mode {
  kNone,
  kRefuse,
  kError,
  kHang,
  kBreakAfter,
  kSilent,
  kSlow,
  kLoseAnswer,
  kNotRun,
  kLate,
};

/// One injected fault.
struct fault {
  fault_mode mode = fault_mode::kNone;
  /// Units sent before kBreakAfter closes: tokens of an engine's answer, bytes
  /// of a plain service's.
  int64_t tokens = 0;
  /// Multiplier of times for kSlow.
  double factor = 1;
  /// Further wait for kLate.
  milliseconds delay{0};
  /// Share of requests that are hit.
  double probability = 1;
  /// Requests hit before the fault ends; unlimited when absent.
  std::optional<int64_t> count;

  bool operator==(const fault&) const = default;
};

/// Reads the body of `POST /admin/fault`. Throws config_error when it is not
/// JSON, has an unknown key, or names a mode outside `allowed`.
fault ParseFault(std::string_view body, const std::vector<fault_mode>& allowed);

/// Decides which requests are hit by the fault in force.
class fault_plan {
 public:
  explicit fault_plan(uint64_t seed) : generator_(seed) {}

  void Set(const fault& next) { current_ = next; }
  /// The fault that hits the next request; kNone when none does.
  fault Draw();
  /// Multiplier of times in force: that of kSlow, else 1.
  [[nodiscard]] double factor() const;
  /// Requests hit so far.
  [[nodiscard]] int64_t hits() const { return hits_; }

 private:
  fault current_;
  int64_t hits_ = 0;
  std::mt19937_64 generator_;
};

}  // namespace skylarkcroft::standin

#endif  // SKYLARKCROFT_STANDINS_COMMON_FAULT_PLAN_H_
