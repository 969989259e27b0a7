#include "standins/platform/skylarkcroft_weight_handler.h"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "skylarkcroft/platform/skylarkcroft_uri_path.h"
#include "standins/platform/skylarkcroft_paths.h"

namespace skylarkcroft::standin {
namespace {

constexpr int kOk = 200;

}  // namespace

http_response weight_handler::Throttled() const {
  const auto wait = std::chrono::ceil<std::chrono::seconds>(rate_.UntilNext());
  http_response response = TooManyCalls();
  response.headers.Add("Retry-After",
                       std::to_string(std::max<int64_t>(1, wait.count())));
  return response;
}

http_response weight_handler::Answer(const http_request& request,
                                     time_point now) {
  if (request.method != "GET") {
    return MethodNotAllowed();
  }
  const std::string name =
      request.path().substr(std::string(kWeightPath).size());
  const size_t slash = name.find('/');
  if (slash == 0 || slash == std::string::npos || slash + 1 == name.size()) {
    return NotFound();
  }
  if (!rate_.Take(now)) {
    return Throttled();
  }
  ++counters().reads;
  return JsonResponse(kOk,
                      {{"model", DecodeUriPath(name.substr(0, slash))},
                       {"version", DecodeUriPath(name.substr(slash + 1))}});
}

}  // namespace skylarkcroft::standin
