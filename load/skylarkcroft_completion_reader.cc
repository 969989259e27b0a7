#include "load/skylarkcroft_completion_reader.h"

#include <charconv>
#include <nlohmann/json.hpp>
#include <utility>

namespace skylarkcroft::load {
namespace {

using nlohmann::json;

constexpr size_t kMaxEventBytes = 1024 * 1024;
constexpr std::string_view kEndMarker = "[DONE]";

int64_t ParseId(const std::string& text) {
  int64_t id = 0;
  const char* end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, id);
  return parsed.ec == std::errc() && parsed.ptr == end ? id : 0;
}

// Text of a choice in either form of the protocol; null when it has none.
const json* FindText(const json& choice) {
  for (const char* holder : {"delta", "message"}) {
    const auto found = choice.find(holder);
    if (found != choice.end() && found->contains("content")) {
      return &(*found)["content"];
    }
  }
  const auto text = choice.find("text");
  return text == choice.end() ? nullptr : &*text;
}

const json* FirstChoice(const json& answer) {
  const auto choices = answer.find("choices");
  if (choices == answer.end() || !choices->is_array() || choices->empty()) {
    return nullptr;
  }
  return &choices->front();
}

int64_t CompletionTokens(const json& answer) {
  const auto usage = answer.find("usage");
  if (usage == answer.end() || !usage->is_object()) {
    return 0;
  }
  return usage->value("completion_tokens", int64_t{0});
}

}  // namespace

completion_reader::completion_reader(answer_check check, time_point intended)
    : check_(std::move(check)),
      intended_(intended),
      parser_(kMaxEventBytes,
              [this](const sse_event& event) { TakeEvent(event, now_); }) {}

void completion_reader::StartStream() {
  error_.reset();
  parser_ = sse_parser(kMaxEventBytes, [this](const sse_event& event) {
    TakeEvent(event, now_);
  });
}

void completion_reader::FeedStream(std::string_view bytes, time_point now) {
  now_ = now;
  if (!parser_.Feed(bytes)) {
    check_.TakeMalformed();
  }
}

void completion_reader::TakeEvent(const sse_event& event, time_point now) {
  if (event.data == kEndMarker) {
    check_.TakeEnd();
    return;
  }
  if (event.event == "error") {
    error_ = ParseProblem(event.data);
    return;
  }
  const json answer = json::parse(event.data, nullptr, false);
  if (answer.is_discarded() || !answer.contains("choices")) {
    check_.TakeMalformed();
    return;
  }
  const json* choice = FirstChoice(answer);
  if (choice != nullptr) {
    TakeChoice(event.id, *choice, now);
  }
}

void completion_reader::TakeChoice(const std::string& id, const json& choice,
                                   time_point now) {
  const json* text = FindText(choice);
  const int64_t number = ParseId(id);
  if (text == nullptr || !text->is_string() || number < 1) {
    check_.TakeMalformed();
    return;
  }
  const int64_t before = check_.tokens();
  check_.TakeToken(number, text->get_ref<const std::string&>());
  if (check_.tokens() > before) {
    NoteToken(now);
  }
  const auto reason = choice.find("finish_reason");
  if (reason != choice.end() && reason->is_string()) {
    check_.TakeFinishReason(reason->get_ref<const std::string&>());
  }
}

void completion_reader::NoteToken(time_point now) {
  if (!first_token_.has_value()) {
    first_token_ = now - intended_;
  } else {
    token_gaps_.push_back(now - last_token_at_);
  }
  last_token_at_ = now;
}

void completion_reader::TakeBody(const std::string& body) {
  const json answer = json::parse(body, nullptr, false);
  const json* choice = answer.is_object() ? FirstChoice(answer) : nullptr;
  const json* text = choice == nullptr ? nullptr : FindText(*choice);
  if (text == nullptr || !text->is_string()) {
    check_.TakeMalformed();
    check_.TakeEnd();
    return;
  }
  check_.TakeWhole(text->get_ref<const std::string&>(),
                   CompletionTokens(answer));
  const auto reason = choice->find("finish_reason");
  if (reason != choice->end() && reason->is_string()) {
    check_.TakeFinishReason(reason->get_ref<const std::string&>());
  }
}

}  // namespace skylarkcroft::load
