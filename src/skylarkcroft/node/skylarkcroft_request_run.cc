#include "skylarkcroft/node/skylarkcroft_request_run.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "skylarkcroft/attempt/skylarkcroft_service_request.h"
#include "skylarkcroft/http/skylarkcroft_http_client.h"
#include "skylarkcroft/placement/skylarkcroft_upstream_load.h"
#include "skylarkcroft/routing/skylarkcroft_prompt_prefix.h"
#include "skylarkcroft/routing/skylarkcroft_upstream_directory.h"

namespace skylarkcroft {
namespace {

constexpr milliseconds kMaxBackoff{2000};
// Time until another look for an upstream when none takes requests.
constexpr milliseconds kNoUpstreamDelay{100};
// Longest time for which a service is asked after a lost outcome.
constexpr milliseconds kOutcomeLimit{5000};
constexpr std::chrono::seconds kRetryAfter{1};
constexpr int kFirstServerError = 500;

const upstream* FindUpstream(const std::vector<upstream_state>& members,
                             const std::string& name) {
  for (const upstream_state& state : members) {
    if (state.spec.name == name) {
      return &state.spec;
    }
  }
  return nullptr;
}

}  // namespace

request_run::request_run(run_environment& environment, accepted_request request,
                         std::function<void(int64_t)> on_end)
    : environment_(environment),
      request_(std::move(request)),
      on_end_(std::move(on_end)),
      claim_(environment_.claims),
      key_(MakeRequestKey({request_.target.name, request_.original.method,
                           request_.original.target, request_.from.name,
                           request_.original.body})) {
  if (request_.completion) {
    prompt_ = MakePromptKey(request_.target.name,
                            HashPrompt(request_.completion->prompt));
  }
  const duration left = request_.deadline - environment_.clock();
  deadline_timer_ = environment_.loop.After(left, [this] { OnDeadline(); });
}

request_run::~request_run() = default;

void request_run::TakeClaim(std::function<void()> on_held) {
  claim_request query;
  query.caller_name = request_.from.name;
  query.idempotency_key = request_.idempotency_key;
  query.fingerprint = FingerprintOf(request_.original);
  query.request_id = request_.id;
  query.deadline = request_.deadline;
  claim_.Take(query,
              [this, on_held = std::move(on_held)](const claim_result& found) {
                if (ended_) {
                  claim_.Release([] {});
                  return;
                }
                OnClaim(found, on_held);
              });
}

void request_run::OnClaim(const claim_result& found,
                          const std::function<void()>& on_held) {
  const auto fail = [this](refusal_reason reason, run_state state,
                           const std::string& detail) {
    FailWith(MakeProblem(reason, state, detail, request_.id));
  };
  switch (found.outcome) {
    case claim_outcome::kHeld:
      on_held();
      return;
    case claim_outcome::kReplay:
      Publish([this, response = *found.response] {
        answer_->CompleteWith(response);
      });
      return;
    case claim_outcome::kRanWithoutResponse:
      fail(refusal_reason::kOutcomeUnknown, run_state::kRan,
           "it ran before; its answer was too large to keep");
      return;
    case claim_outcome::kKeyReused:
      fail(refusal_reason::kKeyReused, run_state::kNotRun,
           "this Idempotency-Key belongs to another request; use a new key");
      return;
    case claim_outcome::kUnknown:
      OnUnknownClaim(found.upstream);
      return;
    case claim_outcome::kStoreUnavailable: {
      problem why = MakeProblem(
          refusal_reason::kStoreUnavailable, run_state::kNotRun,
          "the key could not be claimed; send it again", request_.id);
      why.retry_after = kRetryAfter;
      FailWith(why);
      return;
    }
    case claim_outcome::kBusy:
      fail(refusal_reason::kClaimConflict, run_state::kUnknown,
           "another request with this key is still at work; ask again later");
      return;
  }
}

void request_run::OnUnknownClaim(const std::string& upstream_name) {
  const upstream* sent_to =
      FindUpstream(environment_.directory.UpstreamsInPool(request_.target.name),
                   upstream_name);
  if (request_.target.outcomes_readable && sent_to != nullptr) {
    AskOutcome(*sent_to, "it was sent before and its outcome is not known");
    return;
  }
  FailWith(MakeProblem(refusal_reason::kOutcomeUnknown, run_state::kUnknown,
                       "it was sent before and its outcome is not known",
                       request_.id));
}

void request_run::SuspendOutput() {
  output_suspended_ = true;
  // A try that ended while it was held for a move has no successor yet.
  if (std::exchange(held_for_move_, false) && try_ == nullptr) {
    StartTry(environment_.clock());
  }
}

void request_run::ResumeOutput() {
  output_suspended_ = false;
  const std::vector<std::function<void()>> steps =
      std::exchange(kept_steps_, {});
  for (const std::function<void()>& step : steps) {
    if (ended_) {
      return;
    }
    step();
  }
}

void request_run::RunOrKeep(std::function<void()> step) {
  if (output_suspended_) {
    kept_steps_.push_back(std::move(step));
  } else {
    step();
  }
}

void request_run::Begin(time_point now) {
  if (output_suspended_) {
    kept_steps_.emplace_back([this] { Begin(environment_.clock()); });
    return;
  }
  started_ = true;
  answer_->BeginStreaming();
  if (tries_ == 0) {
    environment_.note_first_try(request_.target.name);
  }
  StartTry(now);
}

void request_run::Pause(time_point now) {
  if (output_suspended_) {
    kept_steps_.emplace_back([this] { Pause(environment_.clock()); });
    return;
  }
  started_ = false;
  held_for_move_ = false;
  timer_.reset();
  paused_tries_ += try_ == nullptr ? 0 : 1;
  DropTry(attempt_outcome::kCancelled, now);
}

void request_run::MoveAway() {
  problem why =
      MakeProblem(refusal_reason::kShuttingDown, run_state::kRan,
                  "this node is leaving; any node gives the rest", request_.id);
  why.continue_at = "/v1/requests/" + request_.id + "/stream";
  why.retry_after = kRetryAfter;
  FailWith(why);
}

bool request_run::HoldForMove() {
  if (ended_ || output_suspended_ || !started_ || !request_.completion ||
      !request_.idempotent || try_ == nullptr) {
    return false;
  }
  held_for_move_ = true;
  return true;
}

const upstream* request_run::ChooseForMove(time_point now) const {
  const std::vector<upstream_state>& members =
      environment_.directory.UpstreamsInPool(request_.target.name);
  choice_query query = MakeQuery();
  query.attempted.push_back(current_upstream_.name);
  const std::optional<std::string> chosen =
      environment_.choose(query, members, now);
  const upstream* found = chosen ? FindUpstream(members, *chosen) : nullptr;
  return found == nullptr || found->name == current_upstream_.name ? nullptr
                                                                   : found;
}

bool request_run::LeaveTry(time_point now) {
  if (ended_ || !held_for_move_) {
    return false;
  }
  held_for_move_ = false;
  // A move is no failed try.
  ++paused_tries_;
  DropTry(attempt_outcome::kCancelled, now);
  return true;
}

bool request_run::MoveTo(const upstream& target, time_point now) {
  if (!LeaveTry(now)) {
    return false;
  }
  Send(target, now);
  return true;
}

bool request_run::ResumeElsewhere(time_point now) {
  if (ended_ || !held_for_move_) {
    return false;
  }
  if (try_ == nullptr) {
    LeaveTry(now);
    StartTry(now);
    return true;
  }
  const upstream* found = IsQuarantined(now) ? nullptr : ChooseForMove(now);
  if (found == nullptr) {
    held_for_move_ = false;
    return false;
  }
  const upstream target = *found;
  return MoveTo(target, now);
}

choice_query request_run::MakeQuery() const {
  choice_query query;
  query.pool = request_.target.name;
  query.work_rank = request_.matched_route.work_rank;
  query.caller_name = request_.from.name;
  query.attempted = tried_;
  query.avoid_zone = last_zone_;
  if (request_.completion) {
    query.prompt = request_.completion->prompt;
    query.expected_tokens = request_.completion->max_tokens;
  }
  return query;
}

bool request_run::IsQuarantined(time_point now) const {
  return environment_.crashing_requests.Decide(key_, now).decision !=
             quarantine_decision::kAllowed ||
         environment_.quarantine.Decide(prompt_, now).decision !=
             quarantine_decision::kAllowed;
}

bool request_run::FailIfQuarantined(time_point now) {
  const quarantine_verdict of_request =
      environment_.crashing_requests.Decide(key_, now);
  const bool is_request = of_request.decision != quarantine_decision::kAllowed;
  const quarantine_verdict verdict =
      is_request ? of_request : environment_.quarantine.Decide(prompt_, now);
  if (verdict.decision == quarantine_decision::kAllowed) {
    return false;
  }
  environment_.count_event(ToString(verdict.decision));
  const bool may_have_run = tries_ > 0 || !answer_->tokens().empty();
  if (!may_have_run) {
    Fail(is_request ? refusal_reason::kRequestQuarantined
                    : refusal_reason::kPromptQuarantined,
         is_request ? "upstreams crashed under this request"
                    : "requests with parts of this prompt crashed upstreams",
         std::chrono::ceil<std::chrono::seconds>(verdict.remaining));
  } else {
    Fail(refusal_reason::kUpstreamFailed,
         is_request ? "upstreams crash under this request"
                    : "upstreams crash under parts of this prompt",
         std::nullopt);
  }
  return true;
}

void request_run::RecordForQuarantine(const attempt_result& result,
                                      const std::string& upstream_name,
                                      time_point now) {
  if (result.outcome == attempt_outcome::kBroken) {
    RecordCrash(upstream_name, now);
  }
  const bool answered = result.may_have_run && result.response.status != 0 &&
                        result.response.status < kFirstServerError;
  if (result.outcome == attempt_outcome::kComplete || answered) {
    environment_.crashing_requests.RecordSuccess(key_, now);
    RecordByte(upstream_name, now);
  }
  if (!request_.completion) {
    return;
  }
  if (result.outcome == attempt_outcome::kComplete) {
    environment_.quarantine.RecordSuccess(prompt_, now);
    return;
  }
  const bool is_late = try_first_token_at_.has_value() &&
                       now - *try_first_token_at_ > kFirstOutputWindow;
  if (result.outcome == attempt_outcome::kBroken && !is_late) {
    environment_.quarantine.RecordCrash(
        {UpstreamKey(upstream_name), prompt_.request,
         try_first_token_at_.has_value(), prompt_.shared},
        now);
  }
}

void request_run::RecordByte(const std::string& upstream_name, time_point now) {
  if (environment_.quarantine.HasUnconfirmedCrashes(now)) {
    environment_.quarantine.RecordByte(UpstreamKey(upstream_name), now);
  }
  if (environment_.crashing_requests.HasUnconfirmedCrashes(now)) {
    environment_.crashing_requests.RecordByte(UpstreamKey(upstream_name), now);
  }
}

void request_run::RecordCrash(const std::string& upstream_name,
                              time_point now) {
  const uint32_t key = UpstreamKey(upstream_name);
  const bool is_due_to_prompt =
      environment_.quarantine.Decide(prompt_, now).decision !=
      quarantine_decision::kAllowed;
  if (is_due_to_prompt) {
    environment_.crashing_requests.ExplainCrash(key, now);
  } else {
    environment_.crashing_requests.RecordCrash(key, key_, try_started_, now);
  }
}

void request_run::StartTry(time_point now) {
  if (output_suspended_) {
    kept_steps_.emplace_back([this] { StartTry(environment_.clock()); });
    return;
  }
  if (FailIfQuarantined(now)) {
    return;
  }
  const std::vector<upstream_state>& members =
      environment_.directory.UpstreamsInPool(request_.target.name);
  const std::optional<std::string> chosen =
      environment_.choose(MakeQuery(), members, now);
  const upstream* found = chosen ? FindUpstream(members, *chosen) : nullptr;
  if (found == nullptr) {
    if (environment_.directory.UnavailableFor(request_.target.name,
                                              kUnavailableTimeout, now)) {
      environment_.count_event("no_upstream");
      Fail(refusal_reason::kNoUpstream, "no upstream takes requests",
           kRetryAfter);
      return;
    }
    timer_ = environment_.loop.After(
        kNoUpstreamDelay, [this] { StartTry(environment_.clock()); });
    return;
  }
  if (claim_.held()) {
    MarkAndSend(*found);
    return;
  }
  const upstream target = *found;
  Send(target, now);
}

void request_run::MarkAndSend(const upstream& target) {
  claim_.EnsureMarkedSent(target.name, [this, target](mark_outcome marked) {
    if (ended_) {
      claim_.Release([] {});
      return;
    }
    switch (marked) {
      case mark_outcome::kMaySend:
        Send(target, environment_.clock());
        return;
      case mark_outcome::kLost:
        // Nothing was sent; the request now waits for the one that took over.
        TakeClaim([this] { StartTry(environment_.clock()); });
        return;
      case mark_outcome::kStoreUnavailable:
        Fail(refusal_reason::kStoreUnavailable,
             "the key could not be marked as sent; send it again", kRetryAfter);
        return;
    }
  });
}

void request_run::Send(const upstream& target, time_point now) {
  current_upstream_ = target;
  try_is_silent_ = false;
  upstream_name_ = target.name;
  last_zone_ = target.availability_zone;
  ++tries_;
  try_started_ = now;
  environment_.directory.RecordSent(request_.target.name, target.name, now);
  environment_.crashing_requests.RecordSending(key_, now);
  if (request_.completion) {
    SendToEngine(target, now);
  } else {
    SendToService(target, now);
  }
}

void request_run::SendToEngine(const upstream& target, time_point now) {
  try_first_token_at_.reset();
  engine_attempt_callbacks events;
  events.on_token = [this](int64_t /*offset*/, const std::string& data) {
    RunOrKeep([this, data] { OnToken(data); });
  };
  events.on_usage = [this](const std::string& data) {
    RunOrKeep([this, data] { answer_->SetUsage(data); });
  };
  events.on_end = [this](const attempt_result& result) {
    RunOrKeep([this, result] { OnTryEnded(result); });
  };
  events.may_end_silent = [this] { return MayEndSilent(); };
  const std::optional<duration> delay = HedgeDelay();
  if (!delay) {
    try_ = StartEngineTry(target.address, std::move(events), now);
    return;
  }
  hedge_plan plan;
  plan.delay = *delay;
  plan.start_first = [this, address = target.address,
                      now](engine_attempt_callbacks first) {
    return StartEngineTry(address, std::move(first), now);
  };
  plan.start_second = [this](engine_attempt_callbacks second) {
    return StartHedge(std::move(second));
  };
  plan.on_attempt_ended = [this](hedge_side side,
                                 const attempt_result& result) {
    OnHedgeLeft(side, result);
  };
  try_ =
      StartHedgedAttempt(environment_.loop, std::move(plan), std::move(events));
}

attempt_ptr request_run::StartEngineTry(const endpoint& address,
                                        engine_attempt_callbacks events,
                                        time_point now) {
  engine_attempt_options start;
  start.address = address;
  start.request_id = request_.id;
  start.delivered_tokens = static_cast<int64_t>(answer_->tokens().size());
  start.progress_timeout = request_.target.retry.progress_timeout;
  start.reuse_connection = request_.idempotent;
  events.on_announced = [this, address](const announcement& told) {
    OnAnnounced(address, told);
  };
  const milliseconds left(ElapsedMs(now, request_.deadline));
  return StartEngineAttempt(
      environment_.client, start,
      MakeUpstreamRequest(*request_.completion, request_.id,
                          start.delivered_tokens, left),
      std::move(events));
}

std::optional<duration> request_run::HedgeDelay() const {
  if (!request_.idempotent ||
      request_.matched_route.work_rank != rank::kUrgent ||
      !answer_->tokens().empty()) {
    return std::nullopt;
  }
  return environment_.hedge_delay(request_.target.name);
}

attempt_ptr request_run::StartHedge(engine_attempt_callbacks events) {
  const time_point now = environment_.clock();
  choice_query query = MakeQuery();
  query.attempted.push_back(current_upstream_.name);
  const std::vector<upstream_state>& members =
      environment_.directory.UpstreamsInPool(request_.target.name);
  const std::optional<std::string> chosen =
      environment_.choose(query, members, now);
  const upstream* found = chosen ? FindUpstream(members, *chosen) : nullptr;
  if (found == nullptr || found->name == current_upstream_.name ||
      IsQuarantined(now) || !environment_.take_retry(request_.target.name)) {
    return nullptr;
  }
  environment_.count_event("hedged");
  ++tries_;
  hedge_upstream_ = *found;
  environment_.directory.RecordSent(request_.target.name, found->name, now);
  return StartEngineTry(hedge_upstream_->address, std::move(events), now);
}

void request_run::OnHedgeLeft(hedge_side side, const attempt_result& result) {
  const bool first = side == hedge_side::kFirst;
  const upstream left = first ? current_upstream_ : *hedge_upstream_;
  if (result.outcome == attempt_outcome::kBroken) {
    RecordCrash(left.name, environment_.clock());
  }
  environment_.directory.RecordOutcome(request_.target.name, left.name,
                                       result.outcome, environment_.clock());
  may_have_run_ = may_have_run_ || result.may_have_run;
  if (result.outcome != attempt_outcome::kCancelled) {
    tried_.push_back(left.name);
  }
  if (first) {
    environment_.count_event("hedge_won");
    current_upstream_ = *hedge_upstream_;
    upstream_name_ = current_upstream_.name;
    last_zone_ = current_upstream_.availability_zone;
  }
  hedge_upstream_.reset();
}

void request_run::SendToService(const upstream& target, time_point now) {
  service_attempt_options start;
  start.address = target.address;
  start.progress_timeout = request_.target.retry.progress_timeout;
  // A kept connection that has gone silent must not swallow a request that
  // cannot be sent again.
  start.reuse_connection = request_.idempotent;
  try_ = StartServiceAttempt(
      environment_.client, start, MakeServiceRequest(request_, now),
      [this](const attempt_result& result) { OnTryEnded(result); },
      [this, address = target.address](const announcement& told) {
        OnAnnounced(address, told);
      },
      [this] { return MayEndSilent(); });
}

void request_run::OnAnnounced(const endpoint& address,
                              const announcement& told) {
  if (environment_.directory.OnAnnouncement(address, told,
                                            environment_.clock())) {
    environment_.count_event(told.is_leaving ? "upstream_leaving"
                                             : "upstream_paused");
  }
}

void request_run::OnToken(const std::string& data) {
  may_have_run_ = true;
  const time_point now = environment_.clock();
  try_is_silent_ = false;
  if (!try_first_token_at_.has_value()) {
    try_first_token_at_ = now;
  }
  RecordByte(upstream_name_, now);
  if (answer_->tokens().empty()) {
    environment_.note_first_token(request_.matched_route.work_rank,
                                  now - request_.arrived);
    environment_.note_try_first_token(request_.target.name, now - try_started_);
  }
  answer_->AppendToken(data);
}

void request_run::OnDeadline() {
  if (try_ != nullptr && try_is_silent_) {
    may_have_run_ = true;
    DropTry(attempt_outcome::kTimedOut, environment_.clock());
  }
  Fail(refusal_reason::kUpstreamTimeout, "the deadline has passed",
       std::nullopt);
}

bool request_run::MayEndSilent() {
  const time_point now = environment_.clock();
  try_is_silent_ = true;
  if (held_for_move_ || output_suspended_ || !MayRetry(true, now)) {
    return false;
  }
  const upstream* found = IsQuarantined(now) ? nullptr : ChooseForMove(now);
  if (found == nullptr) {
    return false;
  }
  const upstream target = *found;
  if (!environment_.take_retry(request_.target.name)) {
    return false;
  }
  successor_ = target;
  return true;
}

void request_run::OnTryEnded(const attempt_result& result) {
  const time_point now = environment_.clock();
  may_have_run_ = may_have_run_ || result.may_have_run;
  const upstream from = current_upstream_;
  RecordForQuarantine(result, from.name, now);
  DropTry(result.outcome, now);
  if (ended_) {
    return;
  }
  if (result.outcome == attempt_outcome::kRejected &&
      !answer_->tokens().empty()) {
    // Tokens of an earlier attempt have been delivered; what followed them is
    // lost.
    Fail(refusal_reason::kUpstreamFailed,
         "an upstream rejected the rest of the answer", std::nullopt);
    return;
  }
  if (result.outcome == attempt_outcome::kRejected ||
      (result.outcome == attempt_outcome::kComplete && !request_.completion)) {
    CompleteService(result.response);
    return;
  }
  if (result.outcome == attempt_outcome::kComplete) {
    CompleteEngine();
    return;
  }
  tried_.push_back(from.name);
  if (held_for_move_) {
    return;
  }
  if (successor_) {
    CountRetry(result.outcome);
    Send(*std::exchange(successor_, std::nullopt), now);
    return;
  }
  RetryOrFail(result, from, now);
}

bool request_run::MayRetry(bool try_may_have_run, time_point now) const {
  if (now >= request_.deadline ||
      tries_ - paused_tries_ >= request_.target.retry.max_attempts) {
    return false;
  }
  return request_.idempotent || !try_may_have_run;
}

void request_run::CountRetry(attempt_outcome outcome) {
  environment_.count_retry(ToString(outcome));
  if (!answer_->tokens().empty()) {
    environment_.count_event("resumed");
  }
}

void request_run::RetryOrFail(const attempt_result& result,
                              const upstream& from, time_point now) {
  if (!MayRetry(result.may_have_run, now)) {
    FailAfter(result, from);
    return;
  }
  if (!environment_.take_retry(request_.target.name)) {
    environment_.count_event("budget_used_up");
    FailAfter(result, from);
    return;
  }
  CountRetry(result.outcome);
  ScheduleRetry();
}

void request_run::ScheduleRetry() {
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

void request_run::FailAfter(const attempt_result& result,
                            const upstream& from) {
  // What a plain service answered is the caller's to read.
  if (!request_.completion && result.response.status != 0) {
    CompleteService(result.response);
    return;
  }
  const std::string detail =
      "the last try ended as " + std::string(ToString(result.outcome));
  if (!request_.idempotent && RunState() == run_state::kUnknown) {
    AskOutcome(from, detail);
    return;
  }
  Fail(result.outcome == attempt_outcome::kTimedOut
           ? refusal_reason::kUpstreamTimeout
           : refusal_reason::kUpstreamFailed,
       detail, kRetryAfter);
}

void request_run::AskOutcome(const upstream& from, const std::string& detail) {
  if (!request_.target.outcomes_readable || request_.idempotency_key.empty()) {
    FailWith(MakeProblem(refusal_reason::kOutcomeUnknown, run_state::kUnknown,
                         detail, request_.id));
    return;
  }
  const time_point until = std::min(
      request_.deadline, environment_.clock() + duration(kOutcomeLimit));
  outcome_query_ = std::make_unique<outcome_poller>(
      environment_.loop, environment_.client, from.address,
      request_.idempotency_key, until, environment_.clock,
      [this, detail](const std::optional<http_response>& outcome) {
        if (ended_) {
          return;
        }
        if (outcome) {
          CompleteService(*outcome);
          return;
        }
        FailWith(MakeProblem(refusal_reason::kOutcomeUnknown,
                             run_state::kUnknown, detail, request_.id));
      });
  outcome_query_->Start();
}

void request_run::CompleteEngine() {
  Publish([this] { answer_->Complete(); });
}

void request_run::CompleteService(const http_response& response) {
  const auto publish = [this, response] {
    Publish([this, response] { answer_->CompleteWith(response); });
  };
  Stop();
  if (!claim_.held()) {
    publish();
  } else if (may_have_run_) {
    claim_.RecordDone(response, publish);
  } else {
    claim_.Release(publish);
  }
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
  FailWith(why);
}

void request_run::FailWith(const problem& why) {
  const auto publish = [this, why] {
    Publish([this, why] { answer_->Fail(why); });
  };
  Stop();
  if (claim_.held() && may_have_run_) {
    claim_.RecordUnknown(publish);
  } else {
    claim_.Release(publish);
  }
}

void request_run::DropTry(attempt_outcome outcome, time_point now) {
  if (try_ == nullptr) {
    return;
  }
  environment_.directory.RecordOutcome(request_.target.name, upstream_name_,
                                       outcome, now);
  upstream_name_.clear();
  if (hedge_upstream_) {
    environment_.directory.RecordOutcome(request_.target.name,
                                         hedge_upstream_->name,
                                         attempt_outcome::kCancelled, now);
    hedge_upstream_.reset();
  }
  // The try may be the caller of this function.
  environment_.loop.Defer(
      [ended = std::shared_ptr<attempt>(std::move(try_))] {});
}

void request_run::Stop() {
  ended_ = true;
  timer_.reset();
  deadline_timer_.reset();
  environment_.loop.Defer(
      [ended = std::shared_ptr<outcome_poller>(std::move(outcome_query_))] {});
  DropTry(attempt_outcome::kCancelled, environment_.clock());
}

void request_run::Publish(const std::function<void()>& end_answer) {
  Stop();
  end_answer();
  const int64_t prompt =
      request_.completion ? request_.completion->PromptTokens() : 1;
  on_end_(prompt + static_cast<int64_t>(answer_->tokens().size()));
}

}  // namespace skylarkcroft
