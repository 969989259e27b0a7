#include "skylarkcroft/node/skylarkcroft_answer_writer.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "skylarkcroft/attempt/skylarkcroft_sse_parser.h"

namespace skylarkcroft {
namespace {

constexpr int kOk = 200;
constexpr const char* kRequestIdHeader = "X-Request-Id";

// Fields that describe one connection and are not passed on (RFC 9110, 7.6.1).
bool IsConnectionField(const std::string& name) {
  for (const char* field :
       {"Connection", "Keep-Alive", "Transfer-Encoding", "Content-Length",
        "Upgrade", "Trailer", "TE", "Date"}) {
    if (EqualsIgnoringCase(name, field)) {
      return true;
    }
  }
  return false;
}

nlohmann::json ParseObject(const std::string& text) {
  nlohmann::json parsed = nlohmann::json::parse(text, nullptr, false);
  return parsed.is_object() ? parsed : nlohmann::json::object();
}

// The first choice of a streamed event; null when there is none.
const nlohmann::json* FirstChoice(const nlohmann::json& event) {
  const auto choices = event.find("choices");
  if (choices == event.end() || !choices->is_array() || choices->empty()) {
    return nullptr;
  }
  return &choices->front();
}

std::string TextOf(const nlohmann::json& choice, bool chat) {
  if (!chat) {
    return choice.value("text", "");
  }
  const auto delta = choice.find("delta");
  return delta != choice.end() && delta->is_object()
             ? delta->value("content", "")
             : std::string();
}

std::string WholeCompletion(const answer& source, const answer_form& form) {
  std::string text;
  nlohmann::json finish_reason = "stop";
  nlohmann::json created = 0;
  for (const std::string& data : source.tokens()) {
    const nlohmann::json event = ParseObject(data);
    const nlohmann::json* choice = FirstChoice(event);
    if (choice == nullptr) {
      continue;
    }
    text += TextOf(*choice, form.chat);
    created = event.value("created", created);
    if (choice->contains("finish_reason") &&
        choice->at("finish_reason").is_string()) {
      finish_reason = choice->at("finish_reason");
    }
  }
  nlohmann::json choice = {{"index", 0}, {"finish_reason", finish_reason}};
  if (form.chat) {
    choice["message"] = {{"role", "assistant"}, {"content", text}};
  } else {
    choice["text"] = text;
  }
  const nlohmann::json usage = ParseObject(source.usage());
  const nlohmann::json whole = {
      {"id", form.request_id},
      {"object", form.chat ? "chat.completion" : "text_completion"},
      {"created", created},
      {"model", form.model},
      {"choices", nlohmann::json::array({choice})},
      {"usage", usage.value("usage", nlohmann::json::object())}};
  return whole.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

}  // namespace

answer_writer::answer_writer(std::shared_ptr<answer> source,
                             http_exchange_ptr exchange, answer_form form,
                             std::function<void(bool)> on_end)
    : source_(std::move(source)),
      exchange_(std::move(exchange)),
      form_(std::move(form)),
      on_end_(std::move(on_end)),
      next_token_(
          static_cast<size_t>(std::max<int64_t>(0, form_.after_offset))) {}

answer_writer::~answer_writer() {
  source_->RemoveReader(reader_);
  if (!ended_) {
    exchange_->OnPeerGone(nullptr);
  }
}

void answer_writer::Start() {
  reader_ = source_->AddReader([this] { OnChange(); });
  exchange_->OnPeerGone([this] { End(false); });
  if (exchange_->closed()) {
    End(false);
    return;
  }
  OnChange();
}

void answer_writer::OnChange() {
  if (ended_) {
    return;
  }
  if (source_->current() == answer::state::kFailed && !head_written_) {
    ReplyFailure();
    return;
  }
  if (form_.what == answer_form::kind::kEventStream) {
    WriteEvents();
    return;
  }
  if (source_->current() == answer::state::kComplete) {
    ReplyWhole();
  }
}

void answer_writer::WriteEvents() {
  if (source_->current() == answer::state::kWaiting) {
    return;
  }
  if (!head_written_) {
    head_written_ = true;
    exchange_->Start(kOk, {{kRequestIdHeader, form_.request_id},
                           {"Content-Type", "text/event-stream"},
                           {"Cache-Control", "no-store"}});
  }
  std::string block;
  for (; next_token_ < source_->tokens().size(); ++next_token_) {
    block += FormatSse(
        {std::to_string(next_token_ + 1), "", source_->tokens()[next_token_]});
  }
  exchange_->Write(block);
  if (source_->ended()) {
    WriteEnd();
  }
}

void answer_writer::WriteEnd() {
  if (source_->current() == answer::state::kFailed) {
    const http_response failure = ToResponse(*source_->failure());
    exchange_->Write(FormatSse({"", "error", failure.body}));
  } else {
    if (!source_->usage().empty()) {
      exchange_->Write(FormatSse({"", "", source_->usage()}));
    }
    exchange_->Write(FormatSse({"", "", "[DONE]"}));
  }
  exchange_->End();
  End(true);
}

void answer_writer::ReplyWhole() {
  if (form_.what == answer_form::kind::kCompletion) {
    exchange_->Reply({kOk,
                      {{kRequestIdHeader, form_.request_id},
                       {"Content-Type", "application/json"}},
                      WholeCompletion(*source_, form_)});
    End(true);
    return;
  }
  http_response reply;
  reply.status = source_->response()->status;
  reply.body = source_->response()->body;
  reply.headers.Add(kRequestIdHeader, form_.request_id);
  for (const http_header& field : source_->response()->headers.fields()) {
    if (IsConnectionField(field.name) ||
        EqualsIgnoringCase(field.name, kRequestIdHeader)) {
      continue;
    }
    reply.headers.Add(field.name, field.value);
  }
  exchange_->Reply(reply);
  End(true);
}

void answer_writer::ReplyFailure() {
  exchange_->Reply(ToResponse(*source_->failure()));
  End(true);
}

void answer_writer::End(bool delivered) {
  if (ended_) {
    return;
  }
  ended_ = true;
  source_->RemoveReader(reader_);
  on_end_(delivered);
}

}  // namespace skylarkcroft
