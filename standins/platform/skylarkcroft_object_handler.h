#ifndef STANDINS_PLATFORM_SKYLARKCROFT_OBJECT_HANDLER_H_
#define STANDINS_PLATFORM_SKYLARKCROFT_OBJECT_HANDLER_H_

#include <string>

#include "standins/platform/skylarkcroft_object_map.h"
#include "standins/platform/skylarkcroft_rate_limiter.h"
#include "standins/platform/skylarkcroft_request_handler.h"

namespace skylarkcroft::standin {

/// The object store's wire form.
class object_handler final : public request_handler {
 public:
  object_handler(object_map& objects, double reads_per_s, double writes_per_s);

  http_response Answer(const http_request& request, time_point now) override;
  [[nodiscard]] http_response Throttled() const override;

 private:
  http_response Put(const std::string& key, const http_request& request);
  http_response Get(const std::string& key);

  object_map& objects_;
  rate_limiter read_rate_;
  rate_limiter write_rate_;
};

}  // namespace skylarkcroft::standin

#endif  // STANDINS_PLATFORM_SKYLARKCROFT_OBJECT_HANDLER_H_
