#ifndef STANDINS_PLATFORM_SKYLARKCROFT_ADMIN_HANDLER_H_
#define STANDINS_PLATFORM_SKYLARKCROFT_ADMIN_HANDLER_H_

#include <array>
#include <string>

#include "standins/platform/skylarkcroft_fault_injector.h"
#include "standins/platform/skylarkcroft_request_handler.h"

namespace skylarkcroft::standin {

class cloud;
class fleet;
class lagging_host_list;

/// The handler of each service, by its index.
using service_handlers = std::array<request_handler*, kAllServices.size()>;

/// The administration calls; faults do not touch them.
class admin_handler final : public request_handler {
 public:
  admin_handler(fault_injector& faults, const service_handlers& services,
                cloud& machines, lagging_host_list& list, fleet& hosts,
                wall_clock_fn wall_clock);

  http_response Answer(const http_request& request, time_point now) override;
  [[nodiscard]] http_response Throttled() const override;

 private:
  // False when there is no such call.
  bool Perform(const std::string& call, const nlohmann::json& body,
               time_point now);
  void SetFault(const nlohmann::json& body);
  void SetCapacity(const nlohmann::json& body);
  void AddAddresses(const nlohmann::json& body);
  http_response Stats();

  fault_injector& faults_;
  service_handlers services_;
  cloud& machines_;
  lagging_host_list& list_;
  fleet& hosts_;
  wall_clock_fn wall_clock_;
};

}  // namespace skylarkcroft::standin

#endif  // STANDINS_PLATFORM_SKYLARKCROFT_ADMIN_HANDLER_H_
