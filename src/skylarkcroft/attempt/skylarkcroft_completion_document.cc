#include "skylarkcroft/attempt/skylarkcroft_completion_document.h"

#include <nlohmann/json.hpp>

#include "skylarkcroft/attempt/skylarkcroft_buffered_response.h"
#include "skylarkcroft/internal/skylarkcroft_bounded_json.h"

namespace skylarkcroft {
namespace {

nlohmann::json ParseObject(const std::string& text) {
  nlohmann::json parsed = ParseBoundedJson(text);
  return parsed.is_object() ? parsed : nlohmann::json::object();
}

// The first element of the event's `choices`; null when there is none.
const nlohmann::json* FirstChoice(const nlohmann::json& event) {
  const auto choices = event.find("choices");
  if (choices == event.end() || !choices->is_array() || choices->empty()) {
    return nullptr;
  }
  return &choices->front();
}

std::string ChoiceText(const nlohmann::json& choice, bool chat) {
  if (!chat) {
    return choice.value("text", "");
  }
  const auto delta = choice.find("delta");
  return delta != choice.end() && delta->is_object()
             ? delta->value("content", "")
             : std::string();
}

}  // namespace

std::string MakeCompletionDocument(const buffered_response& source,
                                   const completion_metadata& metadata) {
  std::string text;
  nlohmann::json finish_reason = "stop";
  nlohmann::json created = 0;
  for (const std::string& data : source.tokens()) {
    const nlohmann::json event = ParseObject(data);
    const nlohmann::json* choice = FirstChoice(event);
    if (choice == nullptr) {
      continue;
    }
    text += ChoiceText(*choice, metadata.chat);
    created = event.value("created", created);
    if (choice->contains("finish_reason") &&
        choice->at("finish_reason").is_string()) {
      finish_reason = choice->at("finish_reason");
    }
  }
  nlohmann::json choice = {{"index", 0}, {"finish_reason", finish_reason}};
  if (metadata.chat) {
    choice["message"] = {{"role", "assistant"}, {"content", text}};
  } else {
    choice["text"] = text;
  }
  const nlohmann::json usage = ParseObject(source.usage());
  const nlohmann::json document = {
      {"id", metadata.request_id},
      {"object", metadata.chat ? "chat.completion" : "text_completion"},
      {"created", created},
      {"model", metadata.model},
      {"choices", nlohmann::json::array({choice})},
      {"usage", usage.value("usage", nlohmann::json::object())}};
  return document.dump(-1, ' ', false,
                       nlohmann::json::error_handler_t::replace);
}

}  // namespace skylarkcroft
