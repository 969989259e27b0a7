#include "standins/platform/skylarkcroft_host_list_handler.h"

#include <nlohmann/json.hpp>

#include "standins/platform/skylarkcroft_lagging_host_list.h"

namespace skylarkcroft::standin {
namespace {

using nlohmann::json;

constexpr int kOk = 200;

json EncodeListedHost(const listed_host& host) {
  const bool node = host.kind == host_kind::kNode;
  const bool live = host.state == host_state::kLive;
  return {{"id", host.id},
          {"kind", node ? "node" : "upstream"},
          {"pool", host.pool},
          {"address", ToString(host.address)},
          {"availability_zone", host.availability_zone},
          {"incarnation", host.incarnation},
          {"state", live ? "live" : "leaving"}};
}

}  // namespace

http_response host_list_handler::Throttled() const { return TooManyCalls(); }

http_response host_list_handler::Answer(const http_request& request,
                                        time_point now) {
  if (request.method != "GET") {
    return MethodNotAllowed();
  }
  ++counters().reads;
  const host_list_snapshot visible = list_.Visible(now);
  json hosts = json::array();
  for (const listed_host& host : visible.hosts) {
    hosts.push_back(EncodeListedHost(host));
  }
  return JsonResponse(kOk, {{"version", visible.version}, {"hosts", hosts}});
}

}  // namespace skylarkcroft::standin
