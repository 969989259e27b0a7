#ifndef SKYLARKCROFT_ATTEMPT_SKYLARKCROFT_ATTEMPT_H_
#define SKYLARKCROFT_ATTEMPT_SKYLARKCROFT_ATTEMPT_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "skylarkcroft/attempt/skylarkcroft_attempt_result.h"
#include "skylarkcroft/http/skylarkcroft_announcement.h"
#include "skylarkcroft/http/skylarkcroft_http_message.h"
#include "skylarkcroft/internal/skylarkcroft_endpoint.h"
#include "skylarkcroft/internal/skylarkcroft_time.h"

namespace skylarkcroft {

class http_client;

/// Callbacks of one attempt at an engine. None is called after on_end.
struct engine_attempt_callbacks {
  /// A token: `offset` counts from 1 at the start of the whole response, `data`
  /// is the data field of its event.
  std::function<void(int64_t offset, const std::string& data)> on_token;
  /// The data field of the event that carries `usage`.
  std::function<void(const std::string& data)> on_usage;
  std::function<void(const attempt_result&)> on_end;
  /// What the upstream tells of itself, at the head of its response; may be
  /// empty.
  std::function<void(const announcement&)> on_announced{};
  /// The engine has been silent for the progress timeout; whether the attempt
  /// ends as timed out. Asked again while the silence lasts; when empty, the
  /// attempt ends.
  std::function<bool()> may_end_silent{};
};

/// One attempt at an upstream. Destroying it closes the connection.
class attempt {
 public:
  virtual ~attempt() = default;
};
using attempt_ptr = std::unique_ptr<attempt>;

/// Where and how to start an attempt at an engine.
struct engine_attempt_options {
  endpoint address;
  std::string request_id;
  /// Tokens received by earlier attempts; this attempt resumes after them.
  int64_t delivered_tokens = 0;
  milliseconds progress_timeout{5000};
  /// False opens a new connection for this attempt.
  bool reuse_connection = true;

  bool operator==(const engine_attempt_options&) const = default;
};

/// Sends `request` to an engine and reports the tokens of its event stream.
/// Tokens up to `start.delivered_tokens` are ignored. A gap in the offsets or
/// an event without `start.request_id` ends the attempt with kMalformed.
attempt_ptr StartEngineAttempt(http_client& client,
                               const engine_attempt_options& start,
                               const http_request& request,
                               engine_attempt_callbacks events);

/// Where and how to start an attempt at a plain service.
struct service_attempt_options {
  endpoint address;
  milliseconds progress_timeout{5000};
  size_t max_body_bytes = 16 * 1024 * 1024;
  /// False opens a new connection for this attempt.
  bool reuse_connection = true;

  bool operator==(const service_attempt_options&) const = default;
};

/// Sends `request` to a plain service and collects the whole response.
/// `on_announced` is called at its head with what the service tells of itself;
/// it may be empty. `may_end_silent` is as in engine_attempt_callbacks.
attempt_ptr StartServiceAttempt(
    http_client& client, const service_attempt_options& start,
    const http_request& request,
    std::function<void(const attempt_result&)> on_end,
    std::function<void(const announcement&)> on_announced = {},
    std::function<bool()> may_end_silent = {});

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_ATTEMPT_SKYLARKCROFT_ATTEMPT_H_
