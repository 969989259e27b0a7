#ifndef STANDINS_PLATFORM_SKYLARKCROFT_TABLE_HANDLER_H_
#define STANDINS_PLATFORM_SKYLARKCROFT_TABLE_HANDLER_H_

#include "standins/platform/skylarkcroft_rate_limiter.h"
#include "standins/platform/skylarkcroft_request_handler.h"
#include "standins/platform/skylarkcroft_table_store.h"

namespace skylarkcroft::standin {

/// The table service's wire form. A GetItem and a page of a Query count as one
/// read, a transaction as one write.
class table_handler final : public request_handler {
 public:
  table_handler(table_store& store, double reads_per_s, double writes_per_s);

  http_response Answer(const http_request& request, time_point now) override;
  [[nodiscard]] http_response Throttled() const override;
  [[nodiscard]] http_response BadRequest(
      const std::string& message) const override;

 private:
  http_response GetItem(const nlohmann::json& body);
  http_response Query(const nlohmann::json& body);
  http_response Transact(const nlohmann::json& body, time_point now);

  table_store& store_;
  rate_limiter read_rate_;
  rate_limiter write_rate_;
};

}  // namespace skylarkcroft::standin

#endif  // STANDINS_PLATFORM_SKYLARKCROFT_TABLE_HANDLER_H_
