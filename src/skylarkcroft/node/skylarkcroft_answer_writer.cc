#include "skylarkcroft/node/skylarkcroft_answer_writer.h"

#include <algorithm>
#include <utility>

#include "skylarkcroft/attempt/skylarkcroft_completion_document.h"
#include "skylarkcroft/attempt/skylarkcroft_sse_parser.h"

namespace skylarkcroft {
namespace {

constexpr int kOk = 200;
// Bytes that a caller may leave untaken; it can read on by id and offset.
constexpr size_t kMaxUntakenBytes = 256 * 1024;
constexpr const char* kRequestIdHeader = "X-Request-Id";

// Fields that describe one connection and are not passed on (RFC 9110, 7.6.1).
bool IsConnectionField(std::string_view name) {
  for (const char* field :
       {"Connection", "Keep-Alive", "Transfer-Encoding", "Content-Length",
        "Upgrade", "Trailer", "TE", "Date"}) {
    if (EqualsIgnoringCase(name, field)) {
      return true;
    }
  }
  return false;
}

}  // namespace

answer_writer::answer_writer(std::shared_ptr<buffered_response> source,
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
  if (source_->current() == buffered_response::state::kFailed &&
      !head_written_) {
    ReplyFailure();
    return;
  }
  const bool complete =
      source_->current() == buffered_response::state::kComplete;
  if (complete && source_->response().has_value() && !head_written_) {
    ReplyWithResponse();
    return;
  }
  if (form_.what == answer_form::kind::kEventStream) {
    WriteEvents();
    return;
  }
  if (complete) {
    ReplyCompletion();
  }
}

void answer_writer::WriteEvents() {
  // Before the first token the upstream may still reject the request.
  const bool may_be_rejected = source_->tokens().empty() && !source_->ended();
  if (may_be_rejected) {
    return;
  }
  if (!head_written_) {
    head_written_ = true;
    exchange_->Start(kOk, {{kRequestIdHeader, form_.request_id},
                           {"Content-Type", "text/event-stream"},
                           {"Cache-Control", "no-store"}});
  }
  if (exchange_->pending_bytes() > kMaxUntakenBytes) {
    exchange_->Abort();
    End(false);
    return;
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
  if (source_->current() == buffered_response::state::kFailed) {
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

void answer_writer::ReplyCompletion() {
  exchange_->Reply(
      {kOk,
       {{kRequestIdHeader, form_.request_id},
        {"Content-Type", "application/json"}},
       MakeCompletionDocument(*source_,
                              {form_.request_id, form_.model, form_.chat})});
  End(true);
}

void answer_writer::ReplyWithResponse() {
  http_response reply;
  reply.status = source_->response()->status;
  reply.body = source_->response()->body;
  reply.headers.Add(kRequestIdHeader, form_.request_id);
  for (const header_view field : source_->response()->headers.fields()) {
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
