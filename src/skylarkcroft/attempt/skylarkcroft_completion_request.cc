#include "skylarkcroft/attempt/skylarkcroft_completion_request.h"

#include <algorithm>
#include <cctype>
#include <nlohmann/json.hpp>

#include "skylarkcroft/internal/skylarkcroft_bounded_json.h"
#include "skylarkcroft/internal/skylarkcroft_error.h"
#include "skylarkcroft/internal/skylarkcroft_json_reader.h"

namespace skylarkcroft {
namespace {

constexpr int64_t kDefaultMaxTokens = 256;
constexpr int64_t kMaxTokensLimit = 1000000;

const nlohmann::json& RequireMember(const nlohmann::json& document,
                                    const char* key) {
  const auto found = document.find(key);
  if (found == document.end()) {
    throw config_error(std::string("$.") + key, "is missing", "add it");
  }
  return *found;
}

std::string RequireString(const nlohmann::json& document, const char* key) {
  const nlohmann::json& member = RequireMember(document, key);
  if (!member.is_string()) {
    throw config_error(std::string("$.") + key,
                       std::string("is a ") + member.type_name(),
                       "write a string here");
  }
  return member.get<std::string>();
}

std::string JoinMessages(const nlohmann::json& document) {
  const nlohmann::json& messages = RequireMember(document, "messages");
  if (!messages.is_array() || messages.empty()) {
    throw config_error("$.messages", "is not a filled array",
                       "write at least one message here");
  }
  std::string prompt;
  size_t index = 0;
  for (const nlohmann::json& message : messages) {
    const std::string path = "$.messages[" + std::to_string(index++) + "]";
    if (!message.is_object() || !message.contains("content") ||
        !message.at("content").is_string()) {
      throw config_error(path + ".content", "is not a string",
                         "write the message's text here");
    }
    if (!prompt.empty()) {
      prompt += '\n';
    }
    prompt += message.at("content").get<std::string>();
  }
  return prompt;
}

int64_t ReadMaxTokens(const nlohmann::json& document) {
  const auto found = document.find("max_tokens");
  if (found == document.end()) {
    return kDefaultMaxTokens;
  }
  if (!found->is_number_integer() || *found < 1 || *found > kMaxTokensLimit) {
    throw config_error(
        "$.max_tokens", "is not a whole number in range",
        "use a value from 1 to " + std::to_string(kMaxTokensLimit));
  }
  return found->get<int64_t>();
}

bool ReadStream(const nlohmann::json& document) {
  const auto found = document.find("stream");
  if (found == document.end()) {
    return false;
  }
  if (!found->is_boolean()) {
    throw config_error("$.stream", "is not a boolean", "use true or false");
  }
  return found->get<bool>();
}

}  // namespace

int64_t completion_request::PromptTokens() const {
  int64_t words = 0;
  bool in_word = false;
  for (const char character : prompt) {
    const bool space = std::isspace(static_cast<unsigned char>(character)) != 0;
    if (!space && !in_word) {
      ++words;
    }
    in_word = !space;
  }
  return words;
}

bool IsCompletionPath(std::string_view path) {
  return path == kCompletionsPath || path == kChatCompletionsPath;
}

std::string ParseModelName(const std::string& body) {
  const nlohmann::json document = ParseBoundedJson(body);
  if (!document.is_object()) {
    return {};
  }
  const auto found = document.find("model");
  return found != document.end() && found->is_string()
             ? found->get<std::string>()
             : std::string();
}

completion_request ParseCompletionRequest(const std::string& path,
                                          const std::string& body,
                                          rank work_rank) {
  nlohmann::json document = ParseJson(body);
  if (!document.is_object()) {
    throw config_error("$", "is not an object", "send a JSON object");
  }
  completion_request request;
  request.path = path;
  request.model = RequireString(document, "model");
  request.prompt = request.chat() ? JoinMessages(document)
                                  : RequireString(document, "prompt");
  request.max_tokens = ReadMaxTokens(document);
  request.stream = ReadStream(document);
  document["stream"] = true;
  document["max_tokens"] = request.max_tokens;
  document["priority"] = static_cast<int>(IndexOf(work_rank));
  try {
    request.upstream_body = document.dump();
  } catch (const nlohmann::json::type_error&) {
    throw config_error("$", "is not valid UTF-8", "send UTF-8 text");
  }
  return request;
}

http_request MakeUpstreamRequest(const completion_request& request,
                                 const std::string& request_id,
                                 int64_t delivered_tokens,
                                 milliseconds time_left) {
  http_request upstream_request;
  upstream_request.method = "POST";
  upstream_request.target = request.path;
  upstream_request.body = request.upstream_body;
  upstream_request.headers.Add("Content-Type", "application/json");
  upstream_request.headers.Add("X-Request-Id", request_id);
  upstream_request.headers.Add(
      "X-Deadline-Ms", std::to_string(std::max<int64_t>(0, time_left.count())));
  if (delivered_tokens > 0) {
    upstream_request.headers.Add("Last-Event-ID",
                                 std::to_string(delivered_tokens));
  }
  return upstream_request;
}

}  // namespace skylarkcroft
