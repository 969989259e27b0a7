#include "standins/platform/skylarkcroft_platform_standin.h"

#include <optional>
#include <string>
#include <unordered_map>
#include <utility>

#include "skylarkcroft/http/skylarkcroft_http_server.h"
#include "skylarkcroft/internal/skylarkcroft_error.h"
#include "skylarkcroft/internal/skylarkcroft_event_loop.h"
#include "standins/platform/skylarkcroft_admin_handler.h"
#include "standins/platform/skylarkcroft_cloud.h"
#include "standins/platform/skylarkcroft_cloud_handler.h"
#include "standins/platform/skylarkcroft_fault_injector.h"
#include "standins/platform/skylarkcroft_fleet.h"
#include "standins/platform/skylarkcroft_host_list_handler.h"
#include "standins/platform/skylarkcroft_lagging_host_list.h"
#include "standins/platform/skylarkcroft_object_handler.h"
#include "standins/platform/skylarkcroft_object_map.h"
#include "standins/platform/skylarkcroft_paths.h"
#include "standins/platform/skylarkcroft_table_handler.h"
#include "standins/platform/skylarkcroft_table_store.h"
#include "standins/platform/skylarkcroft_weight_handler.h"

namespace skylarkcroft::standin {
namespace {

constexpr int kInternalServerError = 500;

std::optional<service_kind> ServiceOf(const std::string& path) {
  if (path == kTablePath) {
    return service_kind::kTables;
  }
  if (path.starts_with(kObjectPath)) {
    return service_kind::kObjects;
  }
  if (path == kHostListPath) {
    return service_kind::kHosts;
  }
  if (path.starts_with(kCloudPath)) {
    return service_kind::kCloud;
  }
  if (path.starts_with(kWeightPath)) {
    return service_kind::kWeights;
  }
  return std::nullopt;
}

http_response AnswerSafely(request_handler& handler,
                           const http_request& request, time_point now) {
  try {
    return handler.Answer(request, now);
  } catch (const config_error& failure) {
    return handler.BadRequest(failure.what());
  }
}

}  // namespace

class platform_standin::impl {
 public:
  impl(event_loop& loop, const platform_options& options, clock_fn clock,
       wall_clock_fn wall_clock)
      : loop_(loop),
        clock_(std::move(clock)),
        faults_(options.seed),
        list_(options.host_list_lag),
        machines_(options.start_delay),
        fleet_(machines_, list_),
        table_handler_(tables_, options.reads_per_s, options.writes_per_s),
        object_handler_(objects_, options.reads_per_s, options.writes_per_s),
        host_list_handler_(list_),
        cloud_handler_(machines_, fleet_),
        weight_handler_(options.weights_per_s),
        services_{&table_handler_, &object_handler_, &host_list_handler_,
                  &cloud_handler_, &weight_handler_},
        admin_handler_(faults_, services_, machines_, list_, fleet_,
                       std::move(wall_clock)),
        server_(loop, options.listen, {},
                [this](const http_exchange_ptr& exchange) { Take(exchange); }) {
  }
  ~impl() {
    for (const auto& [id, exchange] : hanging_) {
      exchange->Abort();
    }
  }
  impl(const impl&) = delete;
  impl& operator=(const impl&) = delete;

  const endpoint& address() const { return server_.address(); }

 private:
  void Take(const http_exchange_ptr& exchange) {
    const std::string path = exchange->request().path();
    if (path.starts_with(kAdminPath)) {
      exchange->Reply(
          AnswerSafely(admin_handler_, exchange->request(), clock_()));
      return;
    }
    const std::optional<service_kind> kind = ServiceOf(path);
    if (!kind.has_value()) {
      exchange->Reply(NotFound());
      return;
    }
    request_handler& handler = *services_[IndexOf(*kind)];
    const fault drawn = faults_.Next(*kind);
    ++handler.counters().calls;
    handler.counters().faults += drawn.mode == fault_mode::kNone ? 0 : 1;
    Serve(exchange, handler, drawn);
  }

  void Serve(const http_exchange_ptr& exchange, request_handler& handler,
             const fault& drawn) {
    switch (drawn.mode) {
      case fault_mode::kNone:
        exchange->Reply(AnswerSafely(handler, exchange->request(), clock_()));
        return;
      case fault_mode::kOutage:
        exchange->Reply(ErrorResponse(kInternalServerError, "InternalError",
                                      "the service is out of order"));
        return;
      case fault_mode::kThrottle:
        exchange->Reply(handler.Throttled());
        return;
      case fault_mode::kLoseAnswer:
        AnswerSafely(handler, exchange->request(), clock_());
        exchange->Abort();
        return;
      case fault_mode::kHang:
        Hang(exchange);
        return;
      case fault_mode::kDelay:
        Delay(exchange, handler, drawn.delay);
        return;
    }
  }

  void Hang(const http_exchange_ptr& exchange) {
    const uint64_t id = next_id_++;
    hanging_[id] = exchange;
    exchange->OnPeerGone([this, id] { hanging_.erase(id); });
  }

  // The call takes effect after the delay, also when its sender has gone by
  // then: the request was received.
  void Delay(const http_exchange_ptr& exchange, request_handler& handler,
             milliseconds delay) {
    const uint64_t id = next_id_++;
    delayed_[id] = loop_.After(delay, [this, id, exchange, &handler] {
      exchange->Reply(AnswerSafely(handler, exchange->request(), clock_()));
      delayed_.erase(id);
    });
  }

  event_loop& loop_;
  clock_fn clock_;
  fault_injector faults_;
  table_store tables_;
  object_map objects_;
  lagging_host_list list_;
  cloud machines_;
  fleet fleet_;
  table_handler table_handler_;
  object_handler object_handler_;
  host_list_handler host_list_handler_;
  cloud_handler cloud_handler_;
  weight_handler weight_handler_;
  service_handlers services_;
  admin_handler admin_handler_;
  http_server server_;
  uint64_t next_id_ = 0;
  std::unordered_map<uint64_t, http_exchange_ptr> hanging_;
  std::unordered_map<uint64_t, event_loop::handle_ptr> delayed_;
};

platform_standin::platform_standin(event_loop& loop,
                                   const platform_options& options,
                                   clock_fn clock, wall_clock_fn wall_clock)
    : impl_(std::make_unique<impl>(loop, options, std::move(clock),
                                   std::move(wall_clock))) {}

platform_standin::~platform_standin() = default;

const endpoint& platform_standin::address() const { return impl_->address(); }

}  // namespace skylarkcroft::standin
