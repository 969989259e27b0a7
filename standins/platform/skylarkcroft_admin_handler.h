#ifndef STANDINS_PLATFORM_SKYLARKCROFT_ADMIN_HANDLER_H_
#define STANDINS_PLATFORM_SKYLARKCROFT_ADMIN_HANDLER_H_

#include <array>

#include "standins/platform/skylarkcroft_fault_injector.h"
#include "standins/platform/skylarkcroft_request_handler.h"

namespace skylarkcroft::standin {

/// The handler of each service, by its index.
using service_handlers = std::array<request_handler*, kAllServices.size()>;

/// The administration calls; faults do not touch them.
class admin_handler final : public request_handler {
 public:
  admin_handler(fault_injector& faults, const service_handlers& services);

  http_response Answer(const http_request& request, time_point now) override;
  [[nodiscard]] http_response Throttled() const override;

 private:
  http_response SetFault(const nlohmann::json& body);
  http_response Stats();

  fault_injector& faults_;
  service_handlers services_;
};

}  // namespace skylarkcroft::standin

#endif  // STANDINS_PLATFORM_SKYLARKCROFT_ADMIN_HANDLER_H_
