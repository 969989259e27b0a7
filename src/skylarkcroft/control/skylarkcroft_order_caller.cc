#include "skylarkcroft/control/skylarkcroft_order_caller.h"

#include <utility>

namespace skylarkcroft {
namespace {

constexpr const char* kOrdersPath = "/orders";
constexpr int kConflict = 409;

}  // namespace

order_caller::order_caller(event_loop& loop, http_client& client,
                           milliseconds flight)
    : calls_(loop, client, flight) {}

void order_caller::Read(const endpoint& address, report_fn done) {
  http_request request;
  request.target = kOrdersPath;
  calls_.Send(
      address, request,
      [done = std::move(done)](const std::optional<http_response>& response) {
        done(Succeeded(response) ? ParseOrderReport(response->body)
                                 : std::nullopt);
      });
}

void order_caller::Order(const endpoint& address, const upstream_order& order,
                         ordered_fn done) {
  http_request request;
  request.method = "POST";
  request.target = kOrdersPath;
  request.headers.Add("Content-Type", "application/json");
  request.body = EncodeOrder(order);
  calls_.Send(
      address, request,
      [done = std::move(done)](const std::optional<http_response>& response) {
        if (Succeeded(response)) {
          done(order_outcome::kApplied);
          return;
        }
        const bool stale = response && response->status == kConflict;
        done(stale ? order_outcome::kStaleFence : order_outcome::kUnknown);
      });
}

}  // namespace skylarkcroft
