#ifndef SKYLARKCROFT_ATTEMPT_SKYLARKCROFT_ATTEMPT_H_
#define SKYLARKCROFT_ATTEMPT_SKYLARKCROFT_ATTEMPT_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "skylarkcroft/attempt/skylarkcroft_attempt_result.h"
#include "skylarkcroft/http/skylarkcroft_http_message.h"
#include "skylarkcroft/internal/skylarkcroft_endpoint.h"
#include "skylarkcroft/internal/skylarkcroft_time.h"

namespace skylarkcroft {

class http_client;

/// Progress of one try at an engine. Nothing is called after on_end.
struct engine_attempt_events {
  /// Token `offset` (from 1, of the whole answer) and its event's data.
  std::function<void(int64_t offset, const std::string& data)> on_token;
  /// Data of the event that carries `usage`.
  std::function<void(const std::string& data)> on_usage;
  std::function<void(const attempt_result&)> on_end;
};

/// One try at an upstream; destroying it closes the connection.
class attempt {
 public:
  virtual ~attempt() = default;
};
using attempt_ptr = std::unique_ptr<attempt>;

/// What a try at an engine continues.
struct engine_attempt_start {
  endpoint address;
  std::string request_id;
  /// Tokens that are already delivered; the stream must start with the next.
  int64_t delivered_tokens = 0;
  milliseconds progress_timeout{5000};
  /// False opens a connection for this try alone.
  bool reuse_connection = true;

  bool operator==(const engine_attempt_start&) const = default;
};

/// Sends `request` to an engine and follows its stream. Tokens that were
/// delivered before are dropped; a gap or another request's id ends the try as
/// kMalformed.
attempt_ptr StartEngineAttempt(http_client& client,
                               const engine_attempt_start& start,
                               const http_request& request,
                               engine_attempt_events events);

/// What a try at a plain service needs beside the request.
struct service_attempt_start {
  endpoint address;
  milliseconds progress_timeout{5000};
  size_t max_body_bytes = 16 * 1024 * 1024;
  /// False opens a connection for this try alone.
  bool reuse_connection = true;

  bool operator==(const service_attempt_start&) const = default;
};

/// Sends `request` to a plain service and collects its answer.
attempt_ptr StartServiceAttempt(
    http_client& client, const service_attempt_start& start,
    const http_request& request,
    std::function<void(const attempt_result&)> on_end);

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_ATTEMPT_SKYLARKCROFT_ATTEMPT_H_
