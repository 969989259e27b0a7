#ifndef STANDINS_PLATFORM_SKYLARKCROFT_HOST_LIST_HANDLER_H_
#define STANDINS_PLATFORM_SKYLARKCROFT_HOST_LIST_HANDLER_H_

#include "standins/platform/skylarkcroft_request_handler.h"

namespace skylarkcroft::standin {

class lagging_host_list;

/// The host list's wire form.
class host_list_handler final : public request_handler {
 public:
  explicit host_list_handler(lagging_host_list& list) : list_(list) {}

  http_response Answer(const http_request& request, time_point now) override;
  [[nodiscard]] http_response Throttled() const override;

 private:
  lagging_host_list& list_;
};

}  // namespace skylarkcroft::standin

#endif  // STANDINS_PLATFORM_SKYLARKCROFT_HOST_LIST_HANDLER_H_
