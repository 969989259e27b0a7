#ifndef STANDINS_PLATFORM_SKYLARKCROFT_CLOUD_HANDLER_H_
#define STANDINS_PLATFORM_SKYLARKCROFT_CLOUD_HANDLER_H_

#include <string>

#include "standins/platform/skylarkcroft_request_handler.h"

namespace skylarkcroft::standin {

class cloud;
class fleet;

/// The cloud API's wire form.
class cloud_handler final : public request_handler {
 public:
  cloud_handler(const cloud& machines, fleet& hosts);

  http_response Answer(const http_request& request, time_point now) override;
  [[nodiscard]] http_response Throttled() const override;

 private:
  http_response Read(const http_request& request, time_point now);
  http_response Start(const http_request& request, time_point now);
  http_response End(const std::string& id, time_point now);

  const cloud& machines_;
  fleet& hosts_;
};

}  // namespace skylarkcroft::standin

#endif  // STANDINS_PLATFORM_SKYLARKCROFT_CLOUD_HANDLER_H_
