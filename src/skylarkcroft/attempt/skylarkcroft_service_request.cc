#include "skylarkcroft/attempt/skylarkcroft_service_request.h"

#include <string>

namespace skylarkcroft {
namespace {

bool IsForwardedHeader(std::string_view name) {
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
  http_request forwarded;
  forwarded.method = request.original.method;
  forwarded.target = request.original.target;
  forwarded.body = request.original.body;
  for (const header_view field : request.original.headers.fields()) {
    if (IsForwardedHeader(field.name)) {
      forwarded.headers.Add(field.name, field.value);
    }
  }
  forwarded.headers.Add("X-Request-Id", request.id);
  forwarded.headers.Add("X-Caller", request.from.name);
  forwarded.headers.Add("X-Deadline-Ms",
                        std::to_string(ElapsedMs(now, request.deadline)));
  return forwarded;
}

}  // namespace skylarkcroft
