#include "load/skylarkcroft_load_request.h"

#include <utility>

namespace skylarkcroft::load {
namespace {

constexpr int kMaxAttempts = 8;
constexpr milliseconds kContinueDelay{50};
constexpr milliseconds kPollPeriod{100};
constexpr int kAccepted = 202;
constexpr int kFirstError = 400;
constexpr size_t kMaxBodyBytes = 16 * 1024 * 1024;
constexpr std::string_view kNotFound = "not_found";
constexpr std::string_view kShuttingDown = "shutting_down";
constexpr const char* kEventStream = "text/event-stream";

}  // namespace

load_request::load_request(const request_context& context,
                           const caller_group& group, request_plan plan,
                           ended_fn on_ended)
    : context_(context),
      group_(group),
      plan_(std::move(plan)),
      on_ended_(std::move(on_ended)),
      reader_(answer_check({group.model, plan_.content, group.max_tokens},
                           context.token_text),
              plan_.intended) {}

void load_request::Start() { Send(MakeRequest(group_, plan_)); }

void load_request::Send(const http_request& request) {
  ++attempts_;
  status_ = 0;
  streaming_ = false;
  body_.clear();
  node_ = context_.pick_node(node_);
  http_call_options options;
  options.progress_timeout = context_.progress_timeout;
  options.max_body_bytes = kMaxBodyBytes;
  call_ = context_.client.Send(
      node_, request, options,
      {[this](int status, const http_headers& headers) {
         TakeHeaders(status, headers);
       },
       [this](std::string_view data) { TakeData(data); },
       [this](const http_result& result) { TakeDone(result); }});
}

void load_request::TakeHeaders(int status, const http_headers& headers) {
  status_ = status;
  streaming_ = headers.Get("Content-Type").starts_with(kEventStream);
  if (request_id_.empty()) {
    request_id_ = headers.Get("X-Request-Id");
  }
  if (streaming_) {
    reader_.StartStream();
  }
  if (status == kAccepted && result_target_.empty()) {
    result_target_ = headers.Get("Location");
  }
}

void load_request::TakeData(std::string_view data) {
  if (streaming_) {
    reader_.FeedStream(data, context_.clock());
    return;
  }
  body_ += data;
}

void load_request::TakeDone(const http_result& result) {
  if (result.outcome != http_outcome::kComplete) {
    TakeBreak(std::string(ToString(result.outcome)));
    return;
  }
  if (status_ >= kFirstError) {
    TakeRefusal(ParseProblem(body_));
    return;
  }
  if (status_ == kAccepted && group_.kind == request_kind::kDeferred) {
    PollLater();
    return;
  }
  if (streaming_ && reader_.error().has_value()) {
    TakeRefusal(*reader_.error());
    return;
  }
  if (streaming_ && !reader_.ended()) {
    TakeBreak("truncated");
    return;
  }
  TakeAnswer();
}

void load_request::TakeAnswer() {
  if (group_.kind != request_kind::kPlain && !streaming_) {
    reader_.TakeBody(body_);
  }
  End(Record(request_outcome::kAnswered, "", context_.clock()));
}

void load_request::TakeRefusal(const told_problem& told) {
  // Another node may know the request, or serve it while this one leaves.
  const bool elsewhere =
      told.reason == kNotFound || told.reason == kShuttingDown;
  const bool started = !request_id_.empty() || !result_target_.empty();
  if (elsewhere && started && CanContinue()) {
    ContinueLater();
    return;
  }
  request_record record =
      Record(request_outcome::kRefused, told.reason, context_.clock());
  if (told.reason == "untold") {
    record.reason = "status_" + std::to_string(status_);
  }
  record.run_state = told.run_state;
  End(record);
}

bool load_request::CanContinue() const {
  if (!context_.resume_broken || attempts_ >= kMaxAttempts) {
    return false;
  }
  const bool resumable = group_.stream && !request_id_.empty();
  return resumable || !result_target_.empty() || !plan_.idempotency_key.empty();
}

void load_request::TakeBreak(const std::string& cause) {
  const bool unsent = cause == ToString(http_outcome::kConnectFailed) &&
                      attempts_ < kMaxAttempts;
  if (CanContinue() || unsent) {
    ContinueLater();
    return;
  }
  End(Record(request_outcome::kLost, cause, context_.clock()));
}

void load_request::ContinueLater() {
  timer_ =
      context_.loop.After(kContinueDelay * attempts_, [this] { Continue(); });
}

void load_request::Continue() {
  if (!result_target_.empty()) {
    Send(MakeFollowUp(group_, plan_, result_target_));
    return;
  }
  if (request_id_.empty() || !group_.stream) {
    Send(MakeRequest(group_, plan_));
    return;
  }
  ++resumes_;
  http_request request =
      MakeFollowUp(group_, plan_, "/v1/requests/" + request_id_ + "/stream");
  request.headers.Add("Last-Event-ID",
                      std::to_string(reader_.check().tokens()));
  Send(request);
}

void load_request::PollLater() {
  if (result_target_.empty()) {
    result_target_ = "/v1/requests/" + request_id_;
  }
  // Waiting for deferred work is no failed attempt.
  attempts_ = 1;
  timer_ = context_.loop.After(kPollPeriod, [this] { Continue(); });
}

request_record load_request::Record(request_outcome outcome,
                                    const std::string& reason,
                                    time_point now) const {
  request_record record;
  record.caller = plan_.caller;
  record.outcome = outcome;
  record.reason = reason;
  record.total = now - plan_.intended;
  record.first_token = reader_.first_token();
  record.token_gaps = reader_.token_gaps();
  record.tokens = reader_.check().tokens();
  record.resumes = resumes_;
  record.faults = reader_.check().faults();
  return record;
}

request_record load_request::Abandoned(time_point now) const {
  return Record(request_outcome::kOpen, "", now);
}

void load_request::End(const request_record& record) {
  const ended_fn on_ended = std::move(on_ended_);
  on_ended(record);
}

}  // namespace skylarkcroft::load
