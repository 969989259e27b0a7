#include "standins/platform/skylarkcroft_admin_handler.h"

#include <nlohmann/json.hpp>
#include <string>
#include <utility>

#include "skylarkcroft/internal/skylarkcroft_json_reader.h"
#include "skylarkcroft/platform/skylarkcroft_cloud_codec.h"
#include "skylarkcroft/platform/skylarkcroft_host_list_codec.h"
#include "standins/platform/skylarkcroft_cloud.h"
#include "standins/platform/skylarkcroft_fleet.h"
#include "standins/platform/skylarkcroft_lagging_host_list.h"
#include "standins/platform/skylarkcroft_paths.h"

namespace skylarkcroft::standin {
namespace {

using nlohmann::json;

constexpr int kOk = 200;
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

std::vector<endpoint> ReadAddresses(const json_reader& reader) {
  std::vector<endpoint> addresses;
  for (const std::string& text : reader.StringsOr("addresses", {})) {
    addresses.push_back(ParseEndpoint(text, reader.PathOf("addresses")));
  }
  return addresses;
}

reclaim_order ReadReclaim(const json& body) {
  const json_reader reader(body, "$",
                           {"availability_zone", "addresses", "notice_ms"});
  return {reader.StringOr("availability_zone", ""), ReadAddresses(reader),
          milliseconds(reader.IntOr("notice_ms", {0, kMaxDelayMs}, 0))};
}

}  // namespace

admin_handler::admin_handler(fault_injector& faults,
                             const service_handlers& services, cloud& machines,
                             lagging_host_list& list, fleet& hosts,
                             wall_clock_fn wall_clock)
    : faults_(faults),
      services_(services),
      machines_(machines),
      list_(list),
      hosts_(hosts),
      wall_clock_(std::move(wall_clock)) {}

http_response admin_handler::Throttled() const { return TooManyCalls(); }

http_response admin_handler::Answer(const http_request& request,
                                    time_point now) {
  const std::string call =
      request.path().substr(std::string(kAdminPath).size());
  if (request.method == "GET" && call == "stats") {
    return Stats();
  }
  if (request.method != "POST") {
    return MethodNotAllowed();
  }
  const json body = ParseJson(request.body);
  return Perform(call, body, now) ? JsonResponse(kOk, json::object())
                                  : NotFound();
}

bool admin_handler::Perform(const std::string& call, const json& body,
                            time_point now) {
  if (call == "fault") {
    SetFault(body);
  } else if (call == "hosts") {
    const json_reader reader(body, "$", {"hosts"});
    reader.Require("hosts");
    list_.Replace(DecodeListedHosts(reader), now);
  } else if (call == "reclaim") {
    hosts_.Reclaim(ReadReclaim(body), now, wall_clock_());
  } else if (call == "capacity") {
    SetCapacity(body);
  } else if (call == "prices") {
    machines_.SetPrices(DecodePrices(json_reader(body, "$", {"prices"})));
  } else if (call == "addresses") {
    AddAddresses(body);
  } else {
    return false;
  }
  return true;
}

void admin_handler::SetFault(const json& body) {
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
}

void admin_handler::SetCapacity(const json& body) {
  const json_reader reader(
      body, "$",
      {"availability_zone", "machine_class", "reclaimable", "available"});
  reader.Require("reclaimable");
  const machine_offer offer{reader.Name("availability_zone"),
                            reader.Name("machine_class"),
                            reader.BoolOr("reclaimable", true)};
  machines_.SetCapacity(offer, reader.Int("available", {0, kMaxCount}));
}

void admin_handler::AddAddresses(const json& body) {
  const json_reader reader(body, "$", {"availability_zone", "addresses"});
  reader.Require("addresses");
  machines_.AddAddresses(reader.Name("availability_zone"),
                         ReadAddresses(reader));
}

http_response admin_handler::Stats() {
  json stats = json::object();
  for (const service_kind kind : kAllServices) {
    stats[std::string(kServiceNames[IndexOf(kind)])] =
        EncodeCounters(services_[IndexOf(kind)]->counters());
  }
  return JsonResponse(kOk, stats);
}

}  // namespace skylarkcroft::standin
