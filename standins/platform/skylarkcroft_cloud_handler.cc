#include "standins/platform/skylarkcroft_cloud_handler.h"

#include <charconv>
#include <nlohmann/json.hpp>

#include "skylarkcroft/internal/skylarkcroft_error.h"
#include "skylarkcroft/platform/skylarkcroft_cloud_codec.h"
#include "skylarkcroft/platform/skylarkcroft_uri_path.h"
#include "standins/platform/skylarkcroft_cloud.h"
#include "standins/platform/skylarkcroft_fleet.h"

namespace skylarkcroft::standin {
namespace {

using nlohmann::json;

constexpr int kOk = 200;
constexpr int kConflict = 409;
constexpr char kPricesPath[] = "/cloud/prices";
constexpr char kHostsPath[] = "/cloud/hosts";
constexpr char kNoticesPath[] = "/cloud/notices";

const char* ToText(cloud_host_state state) {
  switch (state) {
    case cloud_host_state::kStarting:
      return "starting";
    case cloud_host_state::kRunning:
      return "running";
    case cloud_host_state::kEnded:
      break;
  }
  return "ended";
}

json EncodePrice(const machine_price& price) {
  return {{"availability_zone", price.availability_zone},
          {"machine_class", price.machine_class},
          {"reclaimable", price.reclaimable},
          {"on_demand", price.on_demand}};
}

json EncodeHost(const cloud_host& host) {
  return {{"id", host.id},
          {"pool", host.pool},
          {"address", ToString(host.address)},
          {"availability_zone", host.availability_zone},
          {"machine_class", host.machine_class},
          {"reclaimable", host.reclaimable},
          {"state", ToText(host.state)},
          {"client_token", host.client_token}};
}

json EncodeNotice(const reclaim_notice& notice) {
  return {{"seq", notice.seq},
          {"host_id", notice.host_id},
          {"address", ToString(notice.address)},
          {"availability_zone", notice.availability_zone},
          {"reclaim_at_ms", notice.reclaim_at_ms}};
}

template <typename item_type>
http_response ListResponse(const char* key, const std::vector<item_type>& items,
                           json (*encode)(const item_type&)) {
  json list = json::array();
  for (const item_type& item : items) {
    list.push_back(encode(item));
  }
  return JsonResponse(kOk, {{key, list}});
}

int64_t ReadAfter(const http_request& request) {
  const std::string text = request.QueryParameter("after");
  if (text.empty()) {
    return 0;
  }
  int64_t seq = 0;
  const char* end = text.data() + text.size();
  const auto [stop, status] = std::from_chars(text.data(), end, seq);
  if (status != std::errc() || stop != end) {
    throw config_error("after", "'" + text + "' is not a whole number",
                       "give the seq of the last notice known");
  }
  return seq;
}

}  // namespace

cloud_handler::cloud_handler(const cloud& machines, fleet& hosts)
    : machines_(machines), hosts_(hosts) {}

http_response cloud_handler::Throttled() const { return TooManyCalls(); }

http_response cloud_handler::Answer(const http_request& request,
                                    time_point now) {
  const std::string path = request.path();
  if (request.method == "GET") {
    ++counters().reads;
    return Read(request, now);
  }
  ++counters().writes;
  if (request.method == "POST" && path == kHostsPath) {
    return Start(request, now);
  }
  const std::string prefix = std::string(kHostsPath) + "/";
  if (request.method == "DELETE" && path.starts_with(prefix)) {
    return End(DecodeUriPath(path.substr(prefix.size())), now);
  }
  return MethodNotAllowed();
}

http_response cloud_handler::Read(const http_request& request, time_point now) {
  const std::string path = request.path();
  if (path == kPricesPath) {
    return ListResponse("prices", machines_.prices(), EncodePrice);
  }
  if (path == kHostsPath) {
    return ListResponse("hosts", machines_.Hosts(now), EncodeHost);
  }
  if (path == kNoticesPath) {
    return ListResponse("notices", hosts_.NoticesAfter(ReadAfter(request)),
                        EncodeNotice);
  }
  return NotFound();
}

http_response cloud_handler::Start(const http_request& request,
                                   time_point now) {
  const json body = ParseJson(request.body);
  const std::optional<cloud_host> host =
      hosts_.Start(DecodeStartRequest(body, "$"), now);
  if (!host.has_value()) {
    return ErrorResponse(kConflict, "InsufficientCapacity",
                         "no such machine is available in this zone");
  }
  return JsonResponse(kOk, {{"host", EncodeHost(*host)}});
}

http_response cloud_handler::End(const std::string& id, time_point now) {
  return hosts_.End(id, now) ? JsonResponse(kOk, json::object()) : NotFound();
}

}  // namespace skylarkcroft::standin
