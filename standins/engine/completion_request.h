#ifndef SKYLARKCROFT_STANDINS_ENGINE_COMPLETION_REQUEST_H_
#define SKYLARKCROFT_STANDINS_ENGINE_COMPLETION_REQUEST_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "skylarkcroft/internal/skylarkcroft_time.h"

namespace skylarkcroft {
struct http_request;
}  // namespace skylarkcroft

namespace skylarkcroft::standin {

/// One request for a completion, in either form.
struct completion_request {
  /// The value of X-Request-Id; empty when it was absent.
  std::string request_id;
  std::string model;
  /// Of a chat: the messages' contents joined by a newline.
  std::string prompt;
  bool chat = false;
  bool stream = false;
  int64_t max_tokens = 0;
  /// Lower is served first.
  int64_t priority = 0;
  std::vector<std::string> stops;
  /// Tokens that the caller has already; the answer starts with the next.
  int64_t delivered = 0;
  /// True when the request resumes an answer.
  bool resume = false;
  /// Time left on arrival.
  std::optional<milliseconds> deadline;

  bool operator==(const completion_request&) const = default;
};

/// Reads a request to /v1/completions or /v1/chat/completions. Members that
/// the stand-in has no use for are not checked. Throws config_error.
completion_request ParseCompletionRequest(const http_request& request);

}  // namespace skylarkcroft::standin

#endif  // SKYLARKCROFT_STANDINS_ENGINE_COMPLETION_REQUEST_H_
