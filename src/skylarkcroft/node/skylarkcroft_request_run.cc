#include "skylarkcroft/node/skylarkcroft_request_run.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "skylarkcroft/http/skylarkcroft_http_client.h"
#include "skylarkcroft/routing/skylarkcroft_upstream_directory.h"

namespace skylarkcroft {
namespace {

constexpr milliseconds kMaxBackoff{2000};
// Time until another look for an upstream when none takes requests.
constexpr milliseconds kNoUpstreamDelay{100};

const upstream* FindUpstream(const std::vector<upstream_state>& members,
                             const std::string& name) {
  for (const upstream_state& state : members) {
    if (state.spec.name == name) {
      return &state.spec;
    }
  }
  return nullptr;
}

bool IsHopField(const std::string& name) {
  for (const char* field :
       {"Connection", "Keep-Alive", "Transfer-Encoding", "Content-Length",
        "Upgrade", "TE", "Host", "Authorization", "X-Request-Id"}) {
    if (EqualsIgnoringCase(name, field)) {
      return true;
    }
  }
  return false;
}

http_request ForService(const accepted_request& request, time_point now) {
  http_request built;
  built.method = request.original.method;
  built.target = request.original.target;
  built.body = request.original.body;
  for (const http_header& field : request.original.headers.fields()) {
    if (!IsHopField(field.name)) {
      built.headers.Add(field.name, field.value);
    }
  }
  built.headers.Add("X-Request-Id", request.id);
  built.headers.Add("X-Caller", request.from.name);
  built.headers.Add("X-Deadline-Ms",
                    std::to_string(ElapsedMs(now, request.deadline)));
  return built;
}

}  // namespace

request_run::request_run(run_environment& environment, accepted_request request,
                         std::function<void(int64_t)> on_end)
    : environment_(environment),
      request_(std::move(request)),
      on_end_(std::move(on_end)) {
  const duration left = request_.deadline - environment_.clock();
  deadline_timer_ = environment_.loop.After(left, [this] {
    Fail(refusal_reason::kUpstreamTimeout, "the deadline has passed",
         std::nullopt);
  });
}

request_run::~request_run() = default;

void request_run::Begin(time_point now) {
  started_ = true;
  answer_->BeginStreaming();
  StartTry(now);
}

void request_run::Pause(time_point now) {
  started_ = false;
  timer_.reset();
  DropTry(attempt_outcome::kComplete, now);
}

choice_query request_run::MakeQuery() const {
  choice_query query;
  query.pool = request_.target.name;
  query.work_rank = request_.via.work_rank;
  query.caller_name = request_.from.name;
  query.tried = tried_;
  query.avoid_zone = last_zone_;
  if (request_.completion) {
    query.prompt = request_.completion->prompt;
    query.expected_tokens = request_.completion->max_tokens;
  }
  return query;
}

void request_run::StartTry(time_point now) {
  const std::vector<upstream_state>& members =
      environment_.directory.InPool(request_.target.name);
  const std::optional<std::string> chosen =
      environment_.choose(MakeQuery(), members, now);
  const upstream* found = chosen ? FindUpstream(members, *chosen) : nullptr;
  if (found == nullptr) {
    timer_ = environment_.loop.After(
        kNoUpstreamDelay, [this] { StartTry(environment_.clock()); });
    return;
  }
  const upstream target = *found;
  upstream_name_ = target.name;
  last_zone_ = target.availability_zone;
  ++tries_;
  environment_.directory.NoteSent(request_.target.name, target.name, now);
  if (request_.completion) {
    SendToEngine(target, now);
  } else {
    SendToService(target, now);
  }
}

void request_run::SendToEngine(const upstream& target, time_point now) {
  engine_attempt_start start;
  start.address = target.address;
  start.request_id = request_.id;
  start.delivered_tokens = static_cast<int64_t>(answer_->tokens().size());
  start.progress_timeout = request_.target.retry.progress_timeout;
  const milliseconds left(ElapsedMs(now, request_.deadline));
  engine_attempt_events events;
  events.on_token = [this](int64_t /*offset*/, const std::string& data) {
    OnToken(data);
  };
  events.on_usage = [this](const std::string& data) {
    answer_->SetUsage(data);
  };
  events.on_end = [this](const attempt_result& result) { OnTryEnded(result); };
  try_ =
      StartEngineAttempt(environment_.client, start,
                         MakeUpstreamRequest(*request_.completion, request_.id,
                                             start.delivered_tokens, left),
                         std::move(events));
}

void request_run::SendToService(const upstream& target, time_point now) {
  service_attempt_start start;
  start.address = target.address;
  start.progress_timeout = request_.target.retry.progress_timeout;
  // A kept connection that has gone silent must not swallow a request that
  // cannot be sent again.
  start.reuse_connection = request_.idempotent;
  try_ = StartServiceAttempt(
      environment_.client, start, ForService(request_, now),
      [this](const attempt_result& result) { OnTryEnded(result); });
}

void request_run::OnToken(const std::string& data) {
  may_have_run_ = true;
  if (answer_->tokens().empty()) {
    environment_.note_first_token(request_.via.work_rank,
                                  environment_.clock() - request_.arrived);
  }
  answer_->AppendToken(data);
}

void request_run::OnTryEnded(const attempt_result& result) {
  const time_point now = environment_.clock();
  may_have_run_ = may_have_run_ || result.may_have_run;
  const std::string name = upstream_name_;
  DropTry(result.outcome, now);
  if (ended_) {
    return;
  }
  if (result.outcome == attempt_outcome::kComplete ||
      result.outcome == attempt_outcome::kRejected) {
    Conclude(result);
    return;
  }
  tried_.push_back(name);
  RetryOrFail(result, now);
}

void request_run::Conclude(const attempt_result& result) {
  if (request_.completion && result.outcome == attempt_outcome::kComplete) {
    answer_->Complete();
  } else {
    answer_->CompleteWith(result.response);
  }
  End();
}

bool request_run::MayRetry(const attempt_result& result, time_point now) const {
  if (now >= request_.deadline ||
      tries_ >= request_.target.retry.max_attempts) {
    return false;
  }
  return request_.idempotent || !result.may_have_run;
}

void request_run::RetryOrFail(const attempt_result& result, time_point now) {
  if (!MayRetry(result, now) ||
      !environment_.take_retry(request_.target.name)) {
    FailAfter(result);
    return;
  }
  environment_.count_retry(ToString(result.outcome));
  ScheduleRetry(now);
}

void request_run::ScheduleRetry(time_point /*now*/) {
  const double doubled = std::pow(2.0, static_cast<double>(tries_ - 1));
  const double base =
      static_cast<double>(request_.target.retry.base_backoff.count()) * doubled;
  const double bounded =
      std::min(base, static_cast<double>(kMaxBackoff.count()));
  const milliseconds delay(
      static_cast<int64_t>(bounded * environment_.random()));
  timer_ = environment_.loop.After(delay,
                                   [this] { StartTry(environment_.clock()); });
}

void request_run::FailAfter(const attempt_result& result) {
  // What a plain service answered is the caller's to read.
  if (!request_.completion && result.response.status != 0) {
    Conclude(result);
    return;
  }
  const std::string detail =
      "the last try ended as " + std::string(ToString(result.outcome));
  constexpr std::chrono::seconds kRetryAfter{1};
  if (!request_.idempotent && RunState() == run_state::kUnknown) {
    Fail(refusal_reason::kOutcomeUnknown, detail, std::nullopt);
    return;
  }
  Fail(result.outcome == attempt_outcome::kTimedOut
           ? refusal_reason::kUpstreamTimeout
           : refusal_reason::kUpstreamFailed,
       detail, kRetryAfter);
}

run_state request_run::RunState() const {
  if (!may_have_run_) {
    return run_state::kNotRun;
  }
  return answer_->tokens().empty() ? run_state::kUnknown : run_state::kRan;
}

void request_run::Fail(refusal_reason reason, const std::string& detail,
                       std::optional<std::chrono::seconds> retry_after) {
  if (ended_) {
    return;
  }
  // A try under way may have reached its upstream.
  may_have_run_ = may_have_run_ || try_ != nullptr;
  problem why = MakeProblem(reason, RunState(), detail, request_.id);
  why.retry_after = retry_after;
  DropTry(attempt_outcome::kComplete, environment_.clock());
  answer_->Fail(std::move(why));
  End();
}

void request_run::DropTry(attempt_outcome outcome, time_point now) {
  if (try_ == nullptr) {
    return;
  }
  environment_.directory.NoteEnded(request_.target.name, upstream_name_,
                                   outcome, now);
  upstream_name_.clear();
  // The try may be the caller of this function.
  environment_.loop.Defer(
      [ended = std::shared_ptr<attempt>(std::move(try_))] {});
}

void request_run::End() {
  if (ended_) {
    return;
  }
  ended_ = true;
  timer_.reset();
  deadline_timer_.reset();
  const int64_t prompt =
      request_.completion ? request_.completion->PromptTokens() : 1;
  on_end_(prompt + static_cast<int64_t>(answer_->tokens().size()));
}

}  // namespace skylarkcroft
