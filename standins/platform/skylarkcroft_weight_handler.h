#ifndef STANDINS_PLATFORM_SKYLARKCROFT_WEIGHT_HANDLER_H_
#define STANDINS_PLATFORM_SKYLARKCROFT_WEIGHT_HANDLER_H_

#include "standins/platform/skylarkcroft_rate_limiter.h"
#include "standins/platform/skylarkcroft_request_handler.h"

namespace skylarkcroft::standin {

/// The rate-limited weight store, which holds every version of every model.
class weight_handler final : public request_handler {
 public:
  explicit weight_handler(double fetches_per_s) : rate_(fetches_per_s) {}

  http_response Answer(const http_request& request, time_point now) override;
  [[nodiscard]] http_response Throttled() const override;

 private:
  rate_limiter rate_;
};

}  // namespace skylarkcroft::standin

#endif  // STANDINS_PLATFORM_SKYLARKCROFT_WEIGHT_HANDLER_H_
