#ifndef SKYLARKCROFT_ATTEMPT_SKYLARKCROFT_SERVICE_REQUEST_H_
#define SKYLARKCROFT_ATTEMPT_SKYLARKCROFT_SERVICE_REQUEST_H_

#include "skylarkcroft/attempt/skylarkcroft_accepted_request.h"
#include "skylarkcroft/http/skylarkcroft_http_message.h"
#include "skylarkcroft/internal/skylarkcroft_time.h"

namespace skylarkcroft {

/// The request to forward to a plain service: without the client's connection
/// headers and Authorization, and with X-Request-Id, X-Caller and X-Deadline-Ms
/// (the milliseconds left at `now`).
http_request MakeServiceRequest(const accepted_request& request,
                                time_point now);

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_ATTEMPT_SKYLARKCROFT_SERVICE_REQUEST_H_
