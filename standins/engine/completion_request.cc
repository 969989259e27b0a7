#include "standins/engine/completion_request.h"

#include <charconv>
#include <limits>
#include <nlohmann/json.hpp>

#include "skylarkcroft/http/skylarkcroft_http_message.h"
#include "skylarkcroft/internal/skylarkcroft_error.h"
#include "skylarkcroft/internal/skylarkcroft_json_reader.h"

namespace skylarkcroft::standin {
namespace {

constexpr int64_t kDefaultMaxTokens = 16;
constexpr int_range kMaxTokensRange{1, 1000000};
constexpr int_range kPriorityRange{std::numeric_limits<int32_t>::min(),
                                   std::numeric_limits<int32_t>::max()};

/// The members of `document` that the stand-in reads.
nlohmann::json KnownMembers(const nlohmann::json& document) {
  if (!document.is_object()) {
    throw config_error("$", std::string("is a ") + document.type_name(),
                       "send an object");
  }
  nlohmann::json known = nlohmann::json::object();
  for (const char* key : {"model", "prompt", "messages", "max_tokens", "stream",
                          "priority", "stop"}) {
    const auto found = document.find(key);
    if (found != document.end() && !found->is_null()) {
      known[key] = *found;
    }
  }
  return known;
}

std::string JoinMessages(const json_reader& reader) {
  std::string prompt;
  bool first = true;
  reader.Each(
      "messages", [&](const nlohmann::json& message, const std::string& path) {
        const json_reader fields(message, path, {"role", "content", "name"});
        prompt += first ? "" : "\n";
        prompt += fields.String("content");
        first = false;
      });
  return prompt;
}

std::vector<std::string> ReadStops(const json_reader& reader) {
  if (reader.Has("stop") && reader.Member("stop").is_string()) {
    return {reader.String("stop")};
  }
  return reader.StringsOr("stop", {});
}

std::optional<int64_t> HeaderNumber(const http_headers& headers,
                                    const std::string& name) {
  if (!headers.Has(name)) {
    return std::nullopt;
  }
  const std::string text = headers.Get(name);
  int64_t number = 0;
  const char* end = text.data() + text.size();
  const auto read = std::from_chars(text.data(), end, number);
  if (read.ec != std::errc() || read.ptr != end || number < 0) {
    throw config_error(name, "'" + text + "' is not a whole number",
                       "send a count from 0");
  }
  return number;
}

}  // namespace

completion_request ParseCompletionRequest(const http_request& request) {
  const nlohmann::json document = KnownMembers(ParseJson(request.body));
  const json_reader reader(document, "$",
                           {"model", "prompt", "messages", "max_tokens",
                            "stream", "priority", "stop"});
  completion_request parsed;
  parsed.chat = request.path() == "/v1/chat/completions";
  parsed.request_id = request.headers.Get("X-Request-Id");
  parsed.model = reader.Name("model");
  if (parsed.chat) {
    static_cast<void>(reader.Member("messages"));
    parsed.prompt = JoinMessages(reader);
  } else {
    parsed.prompt = reader.String("prompt");
  }
  parsed.stream = reader.BoolOr("stream", false);
  parsed.max_tokens =
      reader.IntOr("max_tokens", kMaxTokensRange, kDefaultMaxTokens);
  parsed.priority = reader.IntOr("priority", kPriorityRange, 0);
  parsed.stops = ReadStops(reader);
  const auto delivered = HeaderNumber(request.headers, "Last-Event-ID");
  parsed.resume = delivered.has_value();
  parsed.delivered = delivered.value_or(0);
  const auto deadline = HeaderNumber(request.headers, "X-Deadline-Ms");
  if (deadline.has_value()) {
    parsed.deadline = milliseconds(*deadline);
  }
  return parsed;
}

}  // namespace skylarkcroft::standin
