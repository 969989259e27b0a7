#ifndef SKYLARKCROFT_ATTEMPT_SKYLARKCROFT_COMPLETION_REQUEST_H_
#define SKYLARKCROFT_ATTEMPT_SKYLARKCROFT_COMPLETION_REQUEST_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "skylarkcroft/http/skylarkcroft_http_message.h"
#include "skylarkcroft/internal/skylarkcroft_time.h"
#include "skylarkcroft/tables/skylarkcroft_rank.h"

namespace skylarkcroft {

inline constexpr const char* kCompletionsPath = "/v1/completions";
inline constexpr const char* kChatCompletionsPath = "/v1/chat/completions";

/// A parsed request to /v1/completions or /v1/chat/completions.
struct completion_request {
  std::string path;
  std::string model;
  /// The prompt; for chat, the contents of the messages joined by newlines.
  std::string prompt;
  int64_t max_tokens = 0;
  /// True when the client asked for server-sent events.
  bool stream = false;
  /// JSON body for the upstream: the client's document with `stream` set to
  /// true, `max_tokens` filled in, and `priority` set to the index of the rank.
  std::string upstream_body;

  [[nodiscard]] bool chat() const { return path == kChatCompletionsPath; }
  /// Estimate of the prompt's tokens: its whitespace-separated words.
  [[nodiscard]] int64_t PromptTokens() const;

  bool operator==(const completion_request&) const = default;
};

/// True for kCompletionsPath and kChatCompletionsPath.
bool IsCompletionPath(std::string_view path);

/// The `model` member of `body`; empty when `body` is not a JSON object or has
/// no string of that name.
std::string ParseModelName(const std::string& body);

/// Parses a client's body. Throws config_error with the JSON path of the fault
/// when the body is not valid JSON or not UTF-8, when a required member is
/// missing, or when a member has the wrong type or is out of range.
completion_request ParseCompletionRequest(const std::string& path,
                                          const std::string& body,
                                          rank work_rank);

/// The HTTP request of one attempt. When `delivered_tokens` is above 0, it asks
/// the upstream to resume the stream after that many tokens.
http_request MakeUpstreamRequest(const completion_request& request,
                                 const std::string& request_id,
                                 int64_t delivered_tokens,
                                 milliseconds time_left);

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_ATTEMPT_SKYLARKCROFT_COMPLETION_REQUEST_H_
