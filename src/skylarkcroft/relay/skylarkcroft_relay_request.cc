#include "skylarkcroft/relay/skylarkcroft_relay_request.h"

#include <algorithm>
#include <utility>

#include "skylarkcroft/http/skylarkcroft_announcement.h"
#include "skylarkcroft/internal/skylarkcroft_event_loop.h"
#include "skylarkcroft/relay/skylarkcroft_request_forwarding.h"

namespace skylarkcroft {
namespace {

constexpr int kRouteRanksPerWorkspaceRank = 3;

}  // namespace

relay_request::relay_request(relay_environment& environment,
                             client_request request, response_writer& response)
    : environment_(environment),
      request_(std::move(request)),
      body_(std::make_shared<const std::string>(
          std::exchange(request_.body, {}))),
      held_(*environment.memory),
      response_(response),
      crashes_(environment.quarantine, environment.crashing_requests,
               [&environment] { environment.on_quarantine_changed(); }) {}

relay_request::~relay_request() { CancelAttempts(); }

void relay_request::Start() {
  UpdateHeld();
  request_id_ = request_.head.headers.Get(environment_.names.request_id);
  record_.request_id = request_id_;
  record_.resumes = request_.head.headers.Get(environment_.names.resumes);
  record_.resumed_after =
      request_.head.headers.Get(environment_.names.last_event_id);
  tables_ = environment_.active_tables();
  if (!CheckGate()) {
    return;
  }
  SetDeadline();
  const milliseconds since_shutdown = environment_.time_since_shutdown();
  if (since_shutdown > environment_.parameters.reject_new_after) {
    RespondWithError(kUnavailable, "leaving",
                     environment_.parameters.other_node_retry);
    return;
  }
  generation_ = ParseGenerationShape(
      request_.head.headers.Get(environment_.names.token_counts),
      request_.head.headers.Get(environment_.names.prompt_parts));
  ChooseRoutedService();
  if (!CheckQuarantine() || !AcquireQuota()) {
    return;
  }
  // The workspace's rank takes precedence over the route's rank.
  const int workspace_rank =
      gate_.workspace == nullptr ? 0 : gate_.workspace->rank;
  urgency_ = std::clamp(
      workspace_rank * kRouteRanksPerWorkspaceRank +
          std::clamp(gate_.route->rank, 0, kRouteRanksPerWorkspaceRank - 1),
      0, kUrgencyLevels - 1);
  placement_draw_ = environment_.uniform_random();
  environment_.retries.RecordRequest(service_name_, environment_.clock());
  if (IsTakeUp()) {
    SearchOrigin();
  } else {
    StartNextAttempt();
  }
}

milliseconds relay_request::RemainingTime(time_point now) const {
  return std::chrono::duration_cast<milliseconds>(deadline_ - now);
}

placement_request relay_request::MakePlacementRequest() const {
  return {service_name_,  environment_.availability_zone,
          generation_,    urgency_,
          cache_tokens_,  tried_upstreams_,
          placement_draw_};
}

std::optional<placement> relay_request::ChooseUpstream(time_point now) const {
  placement_request request = MakePlacementRequest();
  std::vector<upstream_filter_fn> filters;
  if (environment_.rollouts != nullptr) {
    filters = environment_.rollouts->router().Filters(
        {service_name_, gate_.route->name, !tried_upstreams_.empty(),
         environment_.uniform_random()},
        now);
  }
  if (filters.empty() || origin_.has_value()) {
    // A stream that has begun goes on at its version, whatever a rollout wants.
    filters.emplace_back(nullptr);
  }
  for (const upstream_filter_fn& filter : filters) {
    request.allows = filter;
    if (gate_.route->resumable) {
      request.allows = [this, &filter, now](const upstream_entry& upstream) {
        return (filter == nullptr || filter(upstream)) &&
               MayServe(upstream, now);
      };
    }
    std::optional<placement> chosen =
        environment_.balancer.Choose(request, now);
    if (chosen.has_value()) {
      return chosen;
    }
  }
  return std::nullopt;
}

void relay_request::StartNextAttempt() {
  const time_point now = environment_.clock();
  const std::optional<placement> placed = ChooseUpstream(now);
  if (!placed.has_value()) {
    EndWithoutUpstream(now);
    return;
  }
  if (tried_upstreams_.empty() && !AdmitToService(placed->full, now)) {
    return;
  }
  if (record_.upstreams_used > 0 &&
      !environment_.retries.TryRetry(service_name_, environment_.node_count(),
                                     now)) {
    EndWithError(
        ChooseFinalResponse(may_have_executed_, response_started_, false),
        "repeats_used_up", environment_.parameters.other_node_retry);
    return;
  }
  Adopt(SendTo(*placed));
}

void relay_request::EndWithoutUpstream(time_point now) {
  const relay_parameters& parameters = environment_.parameters;
  if (origin_.has_value()) {
    EndWithError(
        ChooseFinalResponse(may_have_executed_, response_started_, false),
        "version_unavailable", parameters.no_upstream_retry);
    return;
  }
  const bool awaits_ledger = environment_.streams != nullptr &&
                             gate_.route->resumable &&
                             environment_.streams->AwaitsVersion(service_name_);
  if (awaits_ledger) {
    EndWithError(
        ChooseFinalResponse(may_have_executed_, response_started_, false),
        "version_not_recorded", parameters.other_node_retry);
    return;
  }
  const std::optional<time_point> pause_end =
      environment_.balancer.FirstPauseEnd(service_name_, now);
  milliseconds retry = parameters.no_upstream_retry;
  if (pause_end.has_value()) {
    // Upstreams ask single nodes for pauses, so another node may serve sooner.
    retry =
        std::clamp(std::chrono::duration_cast<milliseconds>(*pause_end - now),
                   parameters.other_node_retry, parameters.no_upstream_retry);
  }
  EndWithError(
      ChooseFinalResponse(may_have_executed_, response_started_, false),
      pause_end.has_value() ? "upstreams_paused" : "no_upstream", retry);
}

std::string relay_request::FormatRequest(const placement& placed) const {
  forwarding_fields fields;
  fields.upstream_id = placed.upstream.id;
  fields.remaining =
      std::max(RemainingTime(environment_.clock()), milliseconds(1));
  fields.workspace = record_.workspace;
  if (cache_tokens_ > 0) {
    fields.urgency = urgency_;
  }
  fields.last_event_id = events_.last_id();
  return FormatUpstreamHead(request_.head, body_->size(), fields,
                            environment_.names);
}

relay_request::attempt_ptr relay_request::SendTo(const placement& placed) {
  const time_point now = environment_.clock();
  attempt_ptr sent = std::make_unique<attempt>();
  sent->placed = placed;
  sent->started_at = now;
  sent->last_byte_at = now;
  tried_upstreams_.push_back(placed.upstream.id);
  sent->is_trial = crashes_.RecordSending(now);
  environment_.balancer.RecordRequestSent(placed.upstream.id, placed.work,
                                          generation_, now);
  if (environment_.rollouts != nullptr) {
    sent->rollout_id = environment_.rollouts->OnRequestSent(
        gate_.route->name, placed.upstream, now);
  }
  exchange_request request{placed.upstream.id,
                           placed.upstream.address,
                           FormatRequest(placed),
                           body_,
                           environment_.names.request_id,
                           request_id_,
                           request_.head.method == "HEAD"};
  attempt& from = *sent;
  sent->exchange = environment_.connections.Start(
      std::move(request),
      {[this, &from](const message_head& head) { OnHead(from, head); },
       [this, &from](std::string_view bytes) { OnBody(from, bytes); },
       [this, &from](exchange_result result) { OnEnd(from, result); }});
  return sent;
}

void relay_request::Adopt(attempt_ptr begun) {
  attempt_ = std::move(begun);
  events_.StartAttempt();
  const placement& placed = attempt_->placed;
  record_.upstream = placed.upstream.id;
  record_.version = placed.upstream.version;
  record_.upstream_framing =
      attempt_->head.has_value() ? FramingOf(*attempt_->head) : "";
  record_.candidates = placed.candidates;
  record_.running_there = placed.running;
  record_.unread_there = placed.prefill_tokens;
  record_.expected_first = placed.expected_first;
  record_.peer_age = placed.peer_age;
}

response_context relay_request::ContextOf(const attempt& from) const {
  return {request_id_, from.exchange->on_kept_connection(), response_started_};
}

std::optional<attempt_failure> relay_request::FailureOfHead(
    const attempt& from) const {
  return ClassifyFailure(*from.head, ContextOf(from), environment_.names);
}

void relay_request::OnHead(attempt& from, const message_head& head) {
  const time_point now = environment_.clock();
  environment_.balancer.RecordByte(from.placed.upstream.id, now);
  crashes_.RecordSignOfLife(from.placed.upstream.id, now);
  from.last_byte_at = now;
  from.head = head;
  RecordAnnouncements(from, now);
  const bool failed = FailureOfHead(from).has_value();
  from.is_stream = IsEventStream(head) && !failed;
  if (&from == successor_.get()) {
    if (!failed) {
      PromoteSuccessor();
    }
    return;
  }
  record_.upstream_framing = FramingOf(head);
  if (!failed) {
    EndRace();
  }
}

void relay_request::RecordAnnouncements(const attempt& from, time_point now) {
  // Such a response is another upstream's, or a copy of an earlier one.
  if (from.head->status == kMisdirected ||
      MayBeRepeated(*from.head, ContextOf(from), environment_.names)) {
    return;
  }
  const upstream_entry& upstream = from.placed.upstream;
  const announcement told = ReadAnnouncement(
      from.head->status, from.head->headers, environment_.names.leaving);
  if (told.is_leaving) {
    const milliseconds allowed = environment_.parameters.leaving_time;
    if (environment_.balancer.RecordLeaving(upstream, now + allowed, now)) {
      environment_.on_announcement("leaving", upstream.id, request_id_,
                                   allowed);
    }
  }
  if (told.pause.has_value()) {
    environment_.balancer.RecordPause(upstream, now + *told.pause, now);
    environment_.on_announcement("pause", upstream.id, request_id_,
                                 *told.pause);
  }
}

void relay_request::RecordExecutionStarted(attempt& started) {
  started.execution_started = true;
  const time_point now = environment_.clock();
  environment_.balancer.RecordResponseStart(started.placed.upstream.id,
                                            started.placed.work, now);
  if (!execution_counted_) {
    execution_counted_ = true;
    record_.first_byte =
        std::chrono::duration_cast<milliseconds>(now - request_.arrived_at);
    if (!record_.workspace.empty()) {
      environment_.on_execution_started(record_.workspace);
    }
  }
}

void relay_request::OnBody(attempt& from, std::string_view bytes) {
  const time_point now = environment_.clock();
  environment_.balancer.RecordByte(from.placed.upstream.id, now);
  crashes_.RecordSignOfLife(from.placed.upstream.id, now);
  if (&from == successor_.get()) {
    KeepErrorBody(from, bytes);
    return;
  }
  if (successor_ != nullptr && !FailureOfHead(from).has_value()) {
    EndRace();
  }
  AcceptBody(bytes, now);
}

void relay_request::KeepErrorBody(attempt& from, std::string_view bytes) {
  const size_t room =
      environment_.parameters.max_buffered_response - from.body.size();
  from.body.append(bytes.substr(0, room));
  UpdateHeld();
}

void relay_request::AcceptBody(std::string_view bytes, time_point now) {
  if (attempt_->execution_started) {
    record_.longest_pause = std::max(
        record_.longest_pause,
        std::chrono::duration_cast<milliseconds>(now - attempt_->last_byte_at));
  }
  attempt_->last_byte_at = now;
  if (attempt_->is_stream) {
    ForwardEvents(bytes);
    return;
  }
  if (attempt_->body.size() + bytes.size() >
      environment_.parameters.max_buffered_response) {
    Fail(attempt_failure::kMalformed);
    return;
  }
  if (!attempt_->first_output_at.has_value()) {
    attempt_->first_output_at = now;
  }
  if (attempt_->body.empty()) {
    // Doubling would keep up to three times the body while it is copied.
    const uint64_t length = attempt_->head->content_length.value_or(0);
    attempt_->body.reserve(std::min<uint64_t>(
        length, environment_.parameters.max_buffered_response));
  }
  attempt_->body.append(bytes);
  ApplyBackpressure();
}

void relay_request::ForwardEvents(std::string_view bytes) {
  size_t arrived = 0;
  for (const raw_sse_event& event : events_.Split(bytes)) {
    if (!attempt_->execution_started) {
      RecordExecutionStarted(*attempt_);
      attempt_->first_output_at = attempt_->last_byte_at;
    }
    const event_verdict verdict = events_.Accept(event);
    if (verdict == event_verdict::kAlreadySent) {
      continue;
    }
    if (verdict == event_verdict::kGap) {
      Fail(attempt_failure::kMalformed);
      return;
    }
    if (!response_started_) {
      response_started_ = true;
      RecordStreamBegun();
      response_.StartChunked(attempt_->head->status,
                             ClientResponseHeaders(*attempt_->head));
    }
    ++arrived;
    response_.WriteChunk(event.bytes);
    record_.events = events_.sent();
  }
  RecordSpeed(arrived);
  if (events_.remainder().size() >
      environment_.parameters.max_buffered_response) {
    Fail(attempt_failure::kMalformed);
    return;
  }
  ApplyBackpressure();
}

void relay_request::RecordSpeed(size_t events) {
  if (events == 0 || cache_tokens_ == 0) {
    return;
  }
  const time_point now = attempt_->last_byte_at;
  const std::optional<time_point> before =
      std::exchange(attempt_->last_event_at, now);
  if (!before.has_value()) {
    environment_.balancer.RecordFirstEvent(
        attempt_->placed,
        std::chrono::duration_cast<milliseconds>(now - attempt_->started_at),
        now);
  } else if (*before >= attempt_->reading_since) {
    // Otherwise the client was too slow meanwhile, not the engine.
    environment_.balancer.RecordEvents(attempt_->placed.upstream, now - *before,
                                       events, now);
  }
}

void relay_request::ApplyBackpressure() {
  UpdateHeld();
  if (attempt_ == nullptr || attempt_->exchange == nullptr) {
    return;
  }
  const bool pause = MustPauseAnswer();
  if (pause != attempt_->paused) {
    attempt_->paused = pause;
    attempt_->reading_since = environment_.clock();
    attempt_->exchange->SetReading(!pause);
  }
}

bool relay_request::MustPauseAnswer() const {
  const memory_account& memory = *environment_.memory;
  const size_t unsent = response_.unsent();
  if (memory.pressure() == memory_pressure::kNone) {
    return unsent > environment_.parameters.max_client_backlog;
  }
  // An event that does not end is not for the client to take.
  const bool is_event_large =
      events_.remainder().size() > memory.bounds().small_bytes;
  if (memory.pressure() == memory_pressure::kClose) {
    return !attempt_->is_stream || unsent > 0 || is_event_large;
  }
  return unsent > memory.bounds().small_bytes || is_event_large;
}

void relay_request::UpdateHeld() {
  size_t held = request_.head.headers.storage_bytes() + body_->size() +
                events_.held_bytes();
  for (const attempt* sent : {attempt_.get(), successor_.get()}) {
    held += sent == nullptr ? 0 : sent->body.size();
  }
  held_.Set(held);
}

void relay_request::OnEnd(attempt& from, exchange_result result) {
  if (&from == successor_.get()) {
    OnSuccessorEnd(result);
    return;
  }
  const std::optional<attempt_failure> failure = FailureOf(result);
  if (failure.has_value()) {
    Fail(*failure);
    return;
  }
  OnCompleteResponse();
}

bool relay_request::IsDelimited() const {
  const message_head& head = *attempt_->head;
  return head.chunked || head.content_length.has_value() ||
         request_.head.method == "HEAD" || head.status == kNoContent ||
         !IsSuccess(head.status);
}

bool relay_request::IsWholeBody() const {
  return events_.remainder().empty() &&
         (IsDelimited() || attempt_->first_output_at.has_value());
}

void relay_request::OnCompleteResponse() {
  const std::optional<attempt_failure> failure = FailureOfHead(*attempt_);
  if (failure.has_value()) {
    Fail(*failure);
    return;
  }
  if (!IsWholeBody()) {
    Fail(attempt_failure::kBroken);
    return;
  }
  const upstream_entry& upstream = attempt_->placed.upstream;
  const upstream_departure departure{
      environment_.balancer.IsLeaving(upstream.id),
      environment_.balancer.ExitsAt(upstream)};
  if (!IsDelimited() && NeedsConfirmation(departure, environment_.clock())) {
    ConfirmEnd();
    return;
  }
  DeliverWholeResponse();
}

void relay_request::ConfirmEnd() {
  attempt_->unconfirmed_end = end_evidence{.ended_at = environment_.clock()};
  ConnectToConfirmEnd(attempt_->unconfirmed_end->ended_at);
}

void relay_request::ConnectToConfirmEnd(time_point now) {
  end_evidence& end = *attempt_->unconfirmed_end;
  end.connected_at = now;
  end.outcome.reset();
  const upstream_entry& upstream = attempt_->placed.upstream;
  environment_.connections.OpenWatched(
      upstream.id, upstream.address, environment_.parameters.min_open_time,
      [this, alive = std::weak_ptr<bool>(alive_),
       ended = std::weak_ptr<upstream_exchange>(attempt_->exchange)](
          connect_outcome outcome) {
        const bool still_waits = !alive.expired() && IsEndUnconfirmed() &&
                                 attempt_->exchange == ended.lock();
        if (!still_waits) {
          return;
        }
        const time_point outcome_at = environment_.clock();
        attempt_->unconfirmed_end->outcome = outcome;
        attempt_->unconfirmed_end->outcome_at = outcome_at;
        CheckUnconfirmedEnd(outcome_at);
      });
}

bool relay_request::IsEndUnconfirmed() const {
  return !ended_ && attempt_ != nullptr &&
         attempt_->unconfirmed_end.has_value();
}

void relay_request::CheckUnconfirmedEnd(time_point now) {
  end_evidence& end = *attempt_->unconfirmed_end;
  end.has_byte_since = end.outcome.has_value() &&
                       environment_.balancer.HasByteSince(
                           attempt_->placed.upstream.id, end.outcome_at);
  const relay_parameters& parameters = environment_.parameters;
  const end_verdict verdict = DecideEnd(
      end, {parameters.life_sign_wait, parameters.listener_close_limit}, now);
  record_.end_shown_by = EndShownBy(end);
  switch (verdict) {
    case end_verdict::kWait:
      return;
    case end_verdict::kConnectAgain:
      ConnectToConfirmEnd(now);
      return;
    case end_verdict::kWhole:
      DeliverWholeResponse();
      return;
    case end_verdict::kBroken:
      Fail(attempt_failure::kBroken);
      return;
  }
}

void relay_request::DeliverWholeResponse() {
  EndRace();
  if (!attempt_->is_stream) {
    ForwardWholeResponse();
    return;
  }
  const int status = attempt_->head->status;
  if (!response_started_) {
    // The stream ended without an event.
    response_.Send(status, ClientResponseHeaders(*attempt_->head), "",
                   std::nullopt);
  } else {
    response_.Finish();
  }
  if (environment_.streams != nullptr) {
    environment_.streams->OnWhole(StreamId());
  }
  crashes_.RecordWholeResponse(*attempt_, status, environment_.clock());
  CloseAttempt(upstream_outcome::kSuccess);
  RecordEnd(status, "answered");
}

void relay_request::ForwardWholeResponse() {
  if (!attempt_->execution_started) {
    RecordExecutionStarted(*attempt_);
  }
  const message_head& head = *attempt_->head;
  const int status = head.status;
  const bool head_only = request_.head.method == "HEAD";
  crashes_.RecordWholeResponse(*attempt_, status, environment_.clock());
  response_.Send(status, ClientResponseHeaders(head), std::move(attempt_->body),
                 head_only ? head.content_length : std::nullopt);
  CloseAttempt(status < kFirstServerError ? upstream_outcome::kSuccess
                                          : upstream_outcome::kFailure);
  RecordEnd(status, "answered");
}

attempt_record relay_request::DescribeFailure(const attempt& failed,
                                              attempt_failure failure,
                                              time_point now) const {
  attempt_record record;
  record.request_id = request_id_;
  record.request_key = record_.request_key;
  record.service = service_name_;
  record.upstream = failed.placed.upstream.id;
  record.version = failed.placed.upstream.version;
  record.failure = std::string(ToString(failure));
  record.head_received = failed.head.has_value();
  if (failed.head.has_value()) {
    record.framing = FramingOf(*failed.head);
  }
  if (&failed == attempt_.get()) {
    record.partial_event_bytes = events_.remainder().size();
  }
  const std::optional<end_evidence>& end = failed.unconfirmed_end;
  record.upstream_ended =
      end.has_value() && end->outcome == connect_outcome::kRefused;
  record.elapsed =
      std::chrono::duration_cast<milliseconds>(now - failed.started_at);
  if (failed.first_output_at.has_value()) {
    record.output_age = std::chrono::duration_cast<milliseconds>(
        (end.has_value() ? end->ended_at : now) - *failed.first_output_at);
  }
  record.part_keys = ToString(crashes_.prompt().shared);
  for (const prompt_part& part : generation_.parts) {
    record.prompt_parts.append(record.prompt_parts.empty() ? "" : ",")
        .append(part.id);
  }
  return record;
}

void relay_request::RecordFailure(attempt& failed, attempt_failure failure,
                                  time_point now) {
  record_.last_failure = std::string(ToString(failure));
  environment_.on_attempt_failed(DescribeFailure(failed, failure, now));
  if (failure == attempt_failure::kBroken &&
      !environment_.balancer.IsLeaving(failed.placed.upstream.id)) {
    crashes_.RecordBrokenConnection(failed, now);
  }
  const bool sent = failure != attempt_failure::kNoConnection;
  if (sent) {
    ++record_.upstreams_used;
  } else {
    ++record_.connect_tries;
  }
  may_have_executed_ = may_have_executed_ || !IsKnownNotExecuted(failure);
  const bool service_may_have_executed =
      !IsKnownNotExecuted(failure) && cache_tokens_ == 0;
  if (service_may_have_executed && !failed.execution_started) {
    RecordExecutionStarted(failed);
  }
}

bool relay_request::MayRetryAfter(attempt_failure failure, int upstreams_used,
                                  time_point now) const {
  const retry_context context{failure,
                              gate_.route->MayExecuteTwice(),
                              response_started_,
                              gate_.route->resumable,
                              upstreams_used,
                              gate_.route->max_attempts,
                              RemainingTime(now).count() > 0};
  return MayRetry(context) &&
         record_.connect_tries < environment_.parameters.max_connect_tries;
}

void relay_request::Fail(attempt_failure failure) {
  const time_point now = environment_.clock();
  RecordFailure(*attempt_, failure, now);
  if (successor_ != nullptr) {
    CloseFailed(std::move(attempt_), failure);
    Adopt(std::move(successor_));
    record_.silence = "replaced";
    return;
  }
  const bool may_retry = MayRetryAfter(failure, record_.upstreams_used, now);
  const bool forward_error = failure == attempt_failure::kErrorResponse &&
                             !may_retry && !response_started_ &&
                             (!ImpliesNotExecuted(attempt_->head->status) ||
                              gate_.route->MayExecuteTwice());
  if (forward_error) {
    ForwardWholeResponse();
    return;
  }
  CloseFailed(std::move(attempt_), failure);
  if (may_retry && response_.HasClientLeft()) {
    RecordEnd(0, "client_gone");
    return;
  }
  const quarantine_decision quarantine = crashes_.Decide(now).decision;
  if (may_retry && quarantine == quarantine_decision::kAllowed) {
    StartNextAttempt();
    return;
  }
  EndWithError(
      ChooseFinalResponse(may_have_executed_, response_started_,
                          RemainingTime(now).count() <= 0),
      std::string(may_retry ? ToString(quarantine) : ToString(failure)),
      environment_.parameters.other_node_retry);
}

void relay_request::CloseFailed(attempt_ptr failed, attempt_failure failure) {
  switch (failure) {
    case attempt_failure::kNoConnection:
      Close(std::move(failed), upstream_outcome::kUnreachable);
      break;
    case attempt_failure::kDeclined:
      Close(std::move(failed), upstream_outcome::kFull);
      break;
    case attempt_failure::kSilent:
      // Recorded when its successor was sent.
      Close(std::move(failed), upstream_outcome::kInconclusive,
            rollout_request_end::kLost);
      break;
    case attempt_failure::kMisdirected:
      // Answered by another process.
      Close(std::move(failed), upstream_outcome::kFailure,
            rollout_request_end::kNoEvidence);
      break;
    case attempt_failure::kBroken:
      Close(std::move(failed), upstream_outcome::kFailure,
            rollout_request_end::kLost);
      break;
    case attempt_failure::kMalformed:
    case attempt_failure::kErrorResponse:
      Close(std::move(failed), upstream_outcome::kFailure);
      break;
  }
}

void relay_request::CloseAttempt(upstream_outcome outcome) {
  Close(std::move(attempt_), outcome);
}

void relay_request::CloseAttempt(upstream_outcome outcome,
                                 rollout_request_end end) {
  Close(std::move(attempt_), outcome, end);
}

void relay_request::Close(attempt_ptr closed, upstream_outcome outcome) {
  rollout_request_end end = rollout_request_end::kNoEvidence;
  if (outcome == upstream_outcome::kSuccess) {
    end = rollout_request_end::kOk;
  } else if (outcome == upstream_outcome::kFailure) {
    end = rollout_request_end::kFailed;
  }
  Close(std::move(closed), outcome, end);
}

void relay_request::Close(attempt_ptr closed, upstream_outcome outcome,
                          rollout_request_end end) {
  if (environment_.rollouts != nullptr) {
    const upstream_entry& upstream = closed->placed.upstream;
    // An upstream that leaves cuts requests off whatever its version.
    const bool is_evidence = end == rollout_request_end::kOk ||
                             !environment_.balancer.IsLeaving(upstream.id);
    environment_.rollouts->OnRequestEnded(
        upstream.service, closed->rollout_id,
        is_evidence ? end : rollout_request_end::kNoEvidence,
        environment_.clock());
  }
  environment_.balancer.RecordRequestEnded(
      closed->placed.upstream.id, closed->placed.work,
      closed->execution_started, outcome, environment_.clock());
  closed->exchange->Cancel();
  // The exchange may be the caller: destroy it after the call has returned.
  environment_.loop.Defer([finished = closed->exchange] {});
}

void relay_request::CancelAttempts() {
  CancelSuccessor();
  if (attempt_ != nullptr) {
    may_have_executed_ = may_have_executed_ || attempt_->exchange->sent();
    CloseAttempt(upstream_outcome::kInconclusive);
  }
}

void relay_request::Tick(time_point now) {
  if (ended_ || gate_.route == nullptr) {
    return;
  }
  if (IsEndUnconfirmed()) {
    CheckUnconfirmedEnd(now);
    return;
  }
  if (RemainingTime(now).count() <= 0) {
    CancelSuccessor();
    if (attempt_ != nullptr) {
      may_have_executed_ = may_have_executed_ || attempt_->exchange->sent();
      // For a rollout, an answer that is not complete in time is a failure.
      CloseAttempt(attempt_->execution_started ? upstream_outcome::kInconclusive
                                               : upstream_outcome::kFailure,
                   rollout_request_end::kFailed);
    }
    EndWithError(
        ChooseFinalResponse(may_have_executed_, response_started_, true),
        "out_of_time", environment_.parameters.other_node_retry);
    return;
  }
  ApplyBackpressure();
  if (!RecallIfQuarantined(now)) {
    CheckUpstreamSilence(now);
  }
}

bool relay_request::RecallIfQuarantined(time_point now) {
  if (attempt_ == nullptr) {
    return false;
  }
  if (!attempt_->first_output_at.has_value()) {
    const quarantine_decision decision =
        crashes_.DecideForAttempt(*attempt_, now);
    if (decision != quarantine_decision::kAllowed) {
      AbortRequest(std::string(ToString(decision)));
      return true;
    }
  }
  if (successor_ != nullptr) {
    const quarantine_decision decision =
        crashes_.DecideForAttempt(*successor_, now);
    if (decision != quarantine_decision::kAllowed) {
      CancelSuccessor();
      record_.silence = ToString(decision);
    }
  }
  return false;
}

void relay_request::OnClientDisconnected() {
  if (ended_) {
    return;
  }
  CancelAttempts();
  RecordEnd(0, "client_left");
}

void relay_request::AbortRequest(const std::string& reason) {
  if (ended_) {
    return;
  }
  if (IsEndUnconfirmed() && !IsEndInDoubt(*attempt_->unconfirmed_end)) {
    DeliverWholeResponse();
    return;
  }
  CancelAttempts();
  EndWithError(
      ChooseFinalResponse(may_have_executed_, response_started_, false), reason,
      environment_.parameters.other_node_retry);
}

void relay_request::EndWithError(final_response kind, const std::string& reason,
                                 milliseconds retry_after) {
  switch (kind) {
    case final_response::kNotExecuted:
      if (acquired_tokens_ > 0) {
        environment_.quotas.Refund(record_.workspace, acquired_tokens_);
      }
      RespondWithError(kUnavailable, reason, retry_after);
      return;
    case final_response::kUnknown:
      RespondWithError(kBadGateway, reason, milliseconds(0));
      return;
    case final_response::kTimeout:
      RespondWithError(kGatewayTimeout, reason, milliseconds(0));
      return;
    case final_response::kAbort:
      response_.Abort();
      RecordEnd(kBadGateway, reason);
      return;
  }
}

void relay_request::RespondWithError(int status, const std::string& reason,
                                     milliseconds retry_after) {
  http_headers headers = {{"Content-Type", "application/json"}};
  if (!request_id_.empty()) {
    headers.Add(environment_.names.request_id, request_id_);
  }
  if (retry_after.count() > 0) {
    headers.Add("Retry-After", FormatSeconds(retry_after));
    record_.retry_after = retry_after;
  }
  response_.Send(status, headers, "{\"reason\":\"" + reason + "\"}",
                 std::nullopt);
  RecordEnd(status, reason);
}

void relay_request::RecordEnd(int status, const std::string& reason) {
  ended_ = true;
  record_.status = status;
  record_.reason = reason;
  record_.total = std::chrono::duration_cast<milliseconds>(
      environment_.clock() - request_.arrived_at);
  UpdateHeld();
  environment_.on_request_ended(record_);
}

}  // namespace skylarkcroft
