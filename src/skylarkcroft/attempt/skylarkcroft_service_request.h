#ifndef SKYLARKCROFT_ATTEMPT_SKYLARKCROFT_SERVICE_REQUEST_H_
#define SKYLARKCROFT_ATTEMPT_SKYLARKCROFT_SERVICE_REQUEST_H_

#include "skylarkcroft/attempt/skylarkcroft_accepted_request.h"
#include "skylarkcroft/http/skylarkcroft_http_message.h"
#include "skylarkcroft/internal/skylarkcroft_time.h"

namespace skylarkcroft {

/// The request as passed on to a plain service: without the fields of the
/// caller's connection and its key, with the request's id, caller and the
/// milliseconds left.
http_request MakeServiceRequest(const accepted_request& request,
                                time_point now);

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_ATTEMPT_SKYLARKCROFT_SERVICE_REQUEST_H_
