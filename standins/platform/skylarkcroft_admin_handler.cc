#include "standins/platform/skylarkcroft_admin_handler.h"

#include <nlohmann/json.hpp>
#include <string>

#include "skylarkcroft/internal/skylarkcroft_json_reader.h"

namespace skylarkcroft::standin {
namespace {

using nlohmann::json;

constexpr int kOk = 200;
constexpr int kServiceUnavailable = 503;
constexpr int64_t kMaxDelayMs = 3600 * 1000;
constexpr int64_t kMaxCount = 1000000000;

json EncodeCounters(const service_counters& counters) {
  return {{"calls", counters.calls},
          {"writes", counters.writes},
          {"reads", counters.reads},
          {"faults", counters.faults}};
}

fault ReadFault(const json_reader& reader) {
  fault wanted;
  wanted.mode = ParseFaultMode(reader.String("mode"), reader.PathOf("mode"));
  wanted.delay = milliseconds(reader.IntOr("delay_ms", {0, kMaxDelayMs}, 0));
  wanted.probability = reader.NumberOr("probability", {0, 1}, 1);
  wanted.count = reader.IntOr("count", {0, kMaxCount}, 0);
  return wanted;
}

}  // namespace

admin_handler::admin_handler(fault_injector& faults,
                             const service_handlers& services)
    : faults_(faults), services_(services) {}

http_response admin_handler::Throttled() const {
  return ErrorResponse(kServiceUnavailable, "SlowDown", "too many calls");
}

http_response admin_handler::Answer(const http_request& request,
                                    time_point /*now*/) {
  const std::string path = request.path();
  if (request.method == "GET" && path == "/admin/stats") {
    return Stats();
  }
  if (request.method != "POST") {
    return MethodNotAllowed();
  }
  const json body = ParseJson(request.body);
  if (path == "/admin/fault") {
    return SetFault(body);
  }
  return NotFound();
}

http_response admin_handler::SetFault(const json& body) {
  const json_reader reader(
      body, "$", {"service", "mode", "delay_ms", "probability", "count"});
  const std::string service = reader.ChoiceOr(
      "service", {"tables", "objects", "hosts", "cloud", "weights", "all"},
      "all");
  const fault wanted = ReadFault(reader);
  for (const service_kind kind : kAllServices) {
    if (service != "all" && service != kServiceNames[IndexOf(kind)]) {
      continue;
    }
    faults_.Set(kind, wanted);
  }
  return JsonResponse(kOk, json::object());
}

http_response admin_handler::Stats() {
  json stats = json::object();
  for (const service_kind kind : kAllServices) {
    request_handler* service = services_[IndexOf(kind)];
    if (service == nullptr) {
      continue;
    }
    stats[std::string(kServiceNames[IndexOf(kind)])] =
        EncodeCounters(service->counters());
  }
  return JsonResponse(kOk, stats);
}

}  // namespace skylarkcroft::standin
