#include "standins/engine/engine_job.h"

#include <utility>

#include "standins/common/standin_server.h"
#include "standins/engine/completion_text.h"

namespace skylarkcroft::standin {
namespace {

constexpr int kOk = 200;

http_headers AnswerHeaders(const completion_request& request) {
  return {{"X-Request-Id", request.request_id}};
}

}  // namespace

engine_job::engine_job(job_id id, completion_request request,
                       http_exchange_ptr exchange,
                       std::optional<int64_t> break_after, time_point arrived,
                       int64_t created_s)
    : id_(id),
      request_(std::move(request)),
      exchange_(std::move(exchange)),
      break_after_(break_after),
      writer_(request_, created_s),
      blocks_(SplitPrompt(request_.prompt)),
      seed_(CompletionSeed(request_.model, request_.prompt)),
      length_(AnswerLength(seed_, request_.max_tokens, request_.stops)),
      tokens_(request_.delivered) {
  if (request_.deadline.has_value()) {
    deadline_ = arrived + *request_.deadline;
  }
}

bool engine_job::ExpiredAt(time_point now) const {
  return deadline_.has_value() && now > *deadline_;
}

void engine_job::Start(int64_t cached_tokens) {
  started_ = true;
  cached_tokens_ = cached_tokens;
  if (!request_.stream) {
    return;
  }
  http_headers headers = AnswerHeaders(request_);
  headers.Add("Content-Type", "text/event-stream");
  headers.Add("Cache-Control", "no-cache");
  exchange_->Start(kOk, headers);
}

void engine_job::GenerateToken() {
  ++tokens_;
  const std::string text = TokenText(seed_, tokens_);
  if (request_.stream) {
    exchange_->Write(writer_.TokenEvent(tokens_, text, ReasonAt(tokens_)));
  } else {
    text_ += text;
  }
  if (tokens_left() <= 0) {
    Finish();
  }
}

void engine_job::Finish() {
  if (request_.stream) {
    exchange_->Write(writer_.ClosingEvents(Usage()));
    exchange_->End();
    return;
  }
  ReplyJson(*exchange_, kOk, writer_.Whole(text_, ReasonAt(tokens_), Usage()),
            AnswerHeaders(request_));
}

void engine_job::Stop() {
  if (request_.stream) {
    exchange_->End();
  } else {
    exchange_->Abort();
  }
}

void engine_job::Refuse(int status, const std::string& message) {
  ReplyError(*exchange_, status, message, AnswerHeaders(request_));
}

finish_reason engine_job::ReasonAt(int64_t index) const {
  if (index < length_) {
    return finish_reason::kNone;
  }
  return length_ < request_.max_tokens ? finish_reason::kStop
                                       : finish_reason::kLength;
}

completion_usage engine_job::Usage() const {
  return {blocks_.tokens, tokens_, cached_tokens_};
}

}  // namespace skylarkcroft::standin
