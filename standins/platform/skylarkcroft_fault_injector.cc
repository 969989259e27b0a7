#include "standins/platform/skylarkcroft_fault_injector.h"

#include <string>

#include "skylarkcroft/internal/skylarkcroft_error.h"

namespace skylarkcroft::standin {
namespace {

struct mode_name {
  std::string_view name;
  fault_mode mode;
};

constexpr std::array<mode_name, 6> kModeNames = {{
    {"none", fault_mode::kNone},
    {"outage", fault_mode::kOutage},
    {"hang", fault_mode::kHang},
    {"delay", fault_mode::kDelay},
    {"lose_answer", fault_mode::kLoseAnswer},
    {"throttle", fault_mode::kThrottle},
}};

}  // namespace

fault_mode ParseFaultMode(std::string_view name, const std::string& path) {
  for (const mode_name& known : kModeNames) {
    if (known.name == name) {
      return known.mode;
    }
  }
  throw config_error(path, "'" + std::string(name) + "' is not a fault",
                     "use one of: none, outage, hang, delay, lose_answer, "
                     "throttle");
}

fault_injector::fault_injector(uint64_t seed) {
  for (const service_kind kind : kAllServices) {
    std::seed_seq sequence{seed, static_cast<uint64_t>(IndexOf(kind))};
    services_[IndexOf(kind)].generator.seed(sequence);
  }
}

void fault_injector::Set(service_kind kind, const fault& wanted) {
  service_state& state = services_[IndexOf(kind)];
  state.wanted = wanted;
  state.calls_left = wanted.count;
}

fault fault_injector::Next(service_kind kind) {
  service_state& state = services_[IndexOf(kind)];
  const fault wanted = state.wanted;
  if (wanted.mode == fault_mode::kNone) {
    return {};
  }
  if (wanted.count > 0 && --state.calls_left == 0) {
    state.wanted = {};
  }
  std::uniform_real_distribution<double> share(0, 1);
  const bool fails = share(state.generator) < wanted.probability;
  return fails ? wanted : fault{};
}

}  // namespace skylarkcroft::standin
