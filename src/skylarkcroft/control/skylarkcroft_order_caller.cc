#include "skylarkcroft/control/skylarkcroft_order_caller.h"

#include <memory>
#include <utility>

namespace skylarkcroft {
namespace {

constexpr const char* kOrdersPath = "/orders";
constexpr int kConflict = 409;
constexpr int kFirstSuccess = 200;
constexpr int kFirstRedirect = 300;

bool Succeeded(const std::optional<http_response>& response) {
  return response && response->status >= kFirstSuccess &&
         response->status < kFirstRedirect;
}

}  // namespace

order_caller::order_caller(event_loop& loop, http_client& client,
                           milliseconds flight)
    : loop_(loop), client_(client), flight_(flight) {}

void order_caller::Drop(uint64_t id) {
  const auto found = calls_.find(id);
  if (found == calls_.end()) {
    return;
  }
  const auto ended = std::make_shared<call>(std::move(found->second));
  calls_.erase(found);
  loop_.Defer([ended] {});
}

void order_caller::Send(const endpoint& address, const http_request& request,
                        ended_fn done) {
  const uint64_t id = next_id_++;
  http_call_options options;
  options.progress_timeout = flight_;
  // An order that is cut off must not be left in a connection that is kept.
  options.reuse_connection = false;
  http_call_events events;
  events.on_done = [this, id, done](const http_result& result) {
    Drop(id);
    const bool answered = result.outcome == http_outcome::kComplete;
    done(answered ? std::optional(result.response) : std::nullopt);
  };
  call& started = calls_[id];
  started.limit = loop_.After(flight_, [this, id, done] {
    Drop(id);
    done(std::nullopt);
  });
  started.sent = client_.Send(address, request, options, std::move(events));
}

void order_caller::Read(const endpoint& address, report_fn done) {
  http_request request;
  request.target = kOrdersPath;
  Send(address, request,
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
  Send(address, request,
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
