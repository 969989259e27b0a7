#ifndef STANDINS_PLATFORM_SKYLARKCROFT_SERVICE_KIND_H_
#define STANDINS_PLATFORM_SKYLARKCROFT_SERVICE_KIND_H_

#include <array>
#include <string_view>

namespace skylarkcroft::standin {

/// The services of the platform; also the index of their state.
enum class service_kind { kTables, kObjects, kHosts, kCloud, kWeights };

inline constexpr std::array<service_kind, 5> kAllServices = {
    service_kind::kTables, service_kind::kObjects, service_kind::kHosts,
    service_kind::kCloud, service_kind::kWeights};

inline constexpr std::array<std::string_view, kAllServices.size()>
    kServiceNames = {"tables", "objects", "hosts", "cloud", "weights"};

constexpr size_t IndexOf(service_kind kind) {
  return static_cast<size_t>(kind);
}

}  // namespace skylarkcroft::standin

#endif  // STANDINS_PLATFORM_SKYLARKCROFT_SERVICE_KIND_H_
