#include "skylarkcroft/control/skylarkcroft_order_client.h"

#include <utility>

namespace skylarkcroft {
namespace {

constexpr const char* kOrdersPath = "/orders";
constexpr int kConflict = 409;

}  // namespace

order_client::order_client(event_loop& loop, http_client& client,
                           milliseconds timeout)
    : calls_(loop, client, timeout) {}

void order_client::ReadReport(const endpoint& address, report_fn done) {
  http_request request;
  request.target = kOrdersPath;
  calls_.Send(
      address, request,
      [done = std::move(done)](const std::optional<http_response>& response) {
        done(Succeeded(response) ? ParseOrderReport(response->body)
                                 : std::nullopt);
      });
}

void order_client::SendOrder(const endpoint& address,
                             const upstream_order& order, order_done_fn done) {
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
