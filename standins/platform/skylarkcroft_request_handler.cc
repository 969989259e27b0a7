#include "standins/platform/skylarkcroft_request_handler.h"

#include <nlohmann/json.hpp>

namespace skylarkcroft::standin {
namespace {

constexpr int kBadRequest = 400;
constexpr int kNotFound = 404;
constexpr int kMethodNotAllowed = 405;
constexpr int kTooManyRequests = 429;

}  // namespace

http_response request_handler::BadRequest(const std::string& message) const {
  return ErrorResponse(kBadRequest, "BadRequest", message);
}

http_response JsonResponse(int status, const nlohmann::json& body) {
  return {status, {{"Content-Type", "application/json"}}, body.dump()};
}

http_response ErrorResponse(int status, const std::string& code,
                            const std::string& message) {
  return JsonResponse(status, {{"code", code}, {"message", message}});
}

http_response NotFound() {
  return ErrorResponse(kNotFound, "NotFound", "nothing is at this path");
}

http_response MethodNotAllowed() {
  return ErrorResponse(kMethodNotAllowed, "MethodNotAllowed",
                       "this path does not take this method");
}

http_response TooManyCalls() {
  return ErrorResponse(kTooManyRequests, "TooManyRequests",
                       "the rate of the service was exceeded");
}

}  // namespace skylarkcroft::standin
