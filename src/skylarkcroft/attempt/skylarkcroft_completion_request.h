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

/// A caller's request in the completions form.
struct completion_request {
  std::string path;
  std::string model;
  /// Prompt text; for chat the messages' contents joined by newlines.
  std::string prompt;
  int64_t max_tokens = 0;
  /// True when the caller asked for server-sent events.
  bool stream = false;
  /// The caller's document as sent upstream: streamed, with the rank's
  /// priority. JSON text.
  std::string upstream_body;

  [[nodiscard]] bool chat() const { return path == kChatCompletionsPath; }
  /// Whitespace-separated words of the prompt.
  [[nodiscard]] int64_t PromptTokens() const;

  bool operator==(const completion_request&) const = default;
};

/// True for the two paths of the completions form.
bool IsCompletionPath(std::string_view path);

/// The `model` that `body` names; empty when it is not an object with one.
std::string PeekModel(const std::string& body);

/// Reads a caller's document. Throws config_error with the JSON path when it is
/// not valid JSON, not UTF-8, or a needed member is missing or mistyped.
completion_request ParseCompletionRequest(const std::string& path,
                                          const std::string& body,
                                          rank work_rank);

/// The request of one try. `delivered_tokens` is where the answer is resumed.
http_request MakeUpstreamRequest(const completion_request& request,
                                 const std::string& request_id,
                                 int64_t delivered_tokens,
                                 milliseconds time_left);

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_ATTEMPT_SKYLARKCROFT_COMPLETION_REQUEST_H_
