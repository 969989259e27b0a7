#include "standins/platform/skylarkcroft_object_handler.h"

#include "skylarkcroft/internal/skylarkcroft_error.h"
#include "skylarkcroft/platform/skylarkcroft_uri_path.h"
#include "standins/platform/skylarkcroft_paths.h"

namespace skylarkcroft::standin {
namespace {

constexpr int kOk = 200;
constexpr int kNoContent = 204;
constexpr int kPreconditionFailed = 412;
constexpr int kServiceUnavailable = 503;

}  // namespace

object_handler::object_handler(object_map& objects, double reads_per_s,
                               double writes_per_s)
    : objects_(objects), read_rate_(reads_per_s), write_rate_(writes_per_s) {}

http_response object_handler::Throttled() const {
  return ErrorResponse(kServiceUnavailable, "SlowDown",
                       "the rate of the object store was exceeded");
}

http_response object_handler::Answer(const http_request& request,
                                     time_point now) {
  const std::string key =
      DecodeUriPath(request.path().substr(std::string(kObjectPath).size()));
  if (key.empty()) {
    throw config_error("KEY", "is empty", "name an object");
  }
  const bool writes = request.method == "PUT" || request.method == "DELETE";
  if (!writes && request.method != "GET" && request.method != "HEAD") {
    return MethodNotAllowed();
  }
  rate_limiter& rate = writes ? write_rate_ : read_rate_;
  if (!rate.Take(now)) {
    return Throttled();
  }
  ++(writes ? counters().writes : counters().reads);
  if (request.method == "PUT") {
    return Put(key, request);
  }
  if (request.method == "DELETE") {
    objects_.Delete(key);
    return {kNoContent, {}, {}};
  }
  return Get(key);
}

http_response object_handler::Put(const std::string& key,
                                  const http_request& request) {
  const std::string condition = request.headers.Get("If-None-Match");
  if (!condition.empty() && condition != "*") {
    throw config_error("If-None-Match", "is outside the supported subset",
                       "use * or leave it out");
  }
  const std::string etag = objects_.Put(key, request.body, condition.empty());
  if (etag.empty()) {
    return ErrorResponse(kPreconditionFailed, "PreconditionFailed",
                         "the object exists");
  }
  return {kOk, {{"ETag", etag}}, {}};
}

// A HEAD gets the same answer; the server leaves out its body.
http_response object_handler::Get(const std::string& key) {
  const stored_object* object = objects_.Find(key);
  if (object == nullptr) {
    return NotFound();
  }
  return {
      kOk,
      {{"ETag", object->etag}, {"Content-Type", "application/octet-stream"}},
      object->body};
}

}  // namespace skylarkcroft::standin
