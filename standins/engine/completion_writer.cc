#include "standins/engine/completion_writer.h"

#include <nlohmann/json.hpp>

#include "standins/engine/completion_request.h"

namespace skylarkcroft::standin {
namespace {

std::string_view ReasonJson(finish_reason reason) {
  switch (reason) {
    case finish_reason::kNone:
      return "null";
    case finish_reason::kStop:
      return "\"stop\"";
    case finish_reason::kLength:
      return "\"length\"";
  }
  return "null";
}

std::string UsageJson(const completion_usage& usage) {
  const nlohmann::json json = {
      {"prompt_tokens", usage.prompt_tokens},
      {"completion_tokens", usage.completion_tokens},
      {"total_tokens", usage.prompt_tokens + usage.completion_tokens},
      {"prompt_tokens_details", {{"cached_tokens", usage.cached_tokens}}}};
  return json.dump();
}

std::string Quoted(const std::string& text) {
  return nlohmann::json(text).dump(-1, ' ', false,
                                   nlohmann::json::error_handler_t::replace);
}

}  // namespace

completion_writer::completion_writer(const completion_request& request,
                                     int64_t created_s)
    : chat_(request.chat),
      id_json_(Quoted(request.request_id)),
      model_json_(Quoted(request.model)),
      created_s_(created_s),
      event_head_(
          "data: " + Head(chat_ ? "chat.completion.chunk" : "text_completion") +
          R"("choices":[{"index":0,)" +
          (chat_ ? R"("delta":{"content":")" : R"("text":")")) {}

std::string completion_writer::TokenEvent(int64_t index, std::string_view text,
                                          finish_reason reason) const {
  std::string event = "id: " + std::to_string(index) + "\n" + event_head_;
  event += text;
  event += chat_ ? R"("},"finish_reason":)" : R"(","finish_reason":)";
  event += ReasonJson(reason);
  event += "}]}\n\n";
  return event;
}

std::string completion_writer::ClosingEvents(
    const completion_usage& usage) const {
  return "data: " + Head(chat_ ? "chat.completion.chunk" : "text_completion") +
         R"("choices":[],"usage":)" + UsageJson(usage) +
         "}\n\ndata: [DONE]\n\n";
}

std::string completion_writer::Whole(const std::string& text,
                                     finish_reason reason,
                                     const completion_usage& usage) const {
  std::string body = Head(chat_ ? "chat.completion" : "text_completion");
  body += R"("choices":[{"index":0,)";
  body += chat_ ? R"("message":{"role":"assistant","content":)" : R"("text":)";
  body += Quoted(text);
  body += chat_ ? "}" : "";
  body += R"(,"finish_reason":)";
  body += ReasonJson(reason);
  body += R"(}],"usage":)" + UsageJson(usage) + "}";
  return body;
}

std::string completion_writer::Head(std::string_view object) const {
  return R"({"id":)" + id_json_ + R"(,"object":")" + std::string(object) +
         R"(","created":)" + std::to_string(created_s_) + R"(,"model":)" +
         model_json_ + ",";
}

}  // namespace skylarkcroft::standin
