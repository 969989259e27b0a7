#ifndef STANDINS_PLATFORM_SKYLARKCROFT_REQUEST_HANDLER_H_
#define STANDINS_PLATFORM_SKYLARKCROFT_REQUEST_HANDLER_H_

#include <cstdint>
#include <nlohmann/json_fwd.hpp>

#include "skylarkcroft/http/skylarkcroft_http_message.h"
#include "skylarkcroft/internal/skylarkcroft_time.h"

namespace skylarkcroft::standin {

/// What a service has done since it started.
struct service_counters {
  /// Calls received, also those that a fault kept from having an effect.
  int64_t calls = 0;
  int64_t writes = 0;
  int64_t reads = 0;
  int64_t faults = 0;

  bool operator==(const service_counters&) const = default;
};

/// The wire form of one service. May throw config_error on a request that is
/// not valid, which is answered with BadRequest().
class request_handler {
 public:
  virtual ~request_handler() = default;

  virtual http_response Answer(const http_request& request, time_point now) = 0;
  /// The answer when the rate is exceeded.
  [[nodiscard]] virtual http_response Throttled() const = 0;
  /// The answer to a request that is not valid.
  [[nodiscard]] virtual http_response BadRequest(
      const std::string& message) const;

  service_counters& counters() { return counters_; }

 private:
  service_counters counters_;
};

http_response JsonResponse(int status, const nlohmann::json& body);
/// An answer `{"code":code,"message":message}`.
http_response ErrorResponse(int status, const std::string& code,
                            const std::string& message);
http_response NotFound();
http_response MethodNotAllowed();
/// An answer of status 429.
http_response TooManyCalls();

}  // namespace skylarkcroft::standin

#endif  // STANDINS_PLATFORM_SKYLARKCROFT_REQUEST_HANDLER_H_
