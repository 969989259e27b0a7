#ifndef SKYLARKCROFT_RELAY_SKYLARKCROFT_BINDING_LIMITS_H_
#define SKYLARKCROFT_RELAY_SKYLARKCROFT_BINDING_LIMITS_H_

#include "skylarkcroft/service/skylarkcroft_service_map.h"

namespace skylarkcroft {

/// The limits that bind a client in one idle period or one request: of each
/// limit the largest value in force since the period began, as the client may
/// go by any of them.
class binding_limits {
 public:
  explicit binding_limits(const client_limits& in_force) : limits_(in_force) {}

  /// A new period begins.
  void Restart(const client_limits& in_force) { limits_ = in_force; }
  /// The limits have changed within the period.
  void OnChange(const client_limits& in_force);
  [[nodiscard]] const client_limits& limits() const { return limits_; }

  bool operator==(const binding_limits&) const = default;

 private:
  client_limits limits_;
};

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_RELAY_SKYLARKCROFT_BINDING_LIMITS_H_
