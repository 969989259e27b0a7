#include "skylarkcroft/attempt/skylarkcroft_service_request.h"

#include <string>

namespace skylarkcroft {
namespace {

bool IsPassedOn(const std::string& name) {
  for (const char* field :
       {"Connection", "Keep-Alive", "Transfer-Encoding", "Content-Length",
        "Upgrade", "TE", "Host", "Authorization", "X-Request-Id", "X-Caller",
        "X-Deadline-Ms", "Expect"}) {
    if (EqualsIgnoringCase(name, field)) {
      return false;
    }
  }
  return true;
}

}  // namespace

http_request MakeServiceRequest(const accepted_request& request,
                                time_point now) {
  http_request built;
  built.method = request.original.method;
  built.target = request.original.target;
  built.body = request.original.body;
  for (const http_header& field : request.original.headers.fields()) {
    if (IsPassedOn(field.name)) {
      built.headers.Add(field.name, field.value);
    }
  }
  built.headers.Add("X-Request-Id", request.id);
  built.headers.Add("X-Caller", request.from.name);
  built.headers.Add("X-Deadline-Ms",
                    std::to_string(ElapsedMs(now, request.deadline)));
  return built;
}

}  // namespace skylarkcroft
