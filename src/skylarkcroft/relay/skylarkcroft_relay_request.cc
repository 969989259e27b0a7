#include "skylarkcroft/relay/skylarkcroft_relay_request.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <cstdio>
#include <utility>

#include "skylarkcroft/internal/skylarkcroft_event_loop.h"
#include "skylarkcroft/relay/skylarkcroft_forwarded_head.h"

namespace skylarkcroft {
namespace {

constexpr int kOk = 200;
constexpr int kFirstRedirect = 300;
constexpr int kUnauthorized = 401;
constexpr int kNotFound = 404;
constexpr int kRequestTimeout = 408;
constexpr int kOtherProcess = 421;
constexpr int kTooMany = 429;
constexpr int kFirstServerError = 500;
constexpr int kBadGateway = 502;
constexpr int kUnavailable = 503;
constexpr int kGatewayTimeout = 504;
constexpr int kRanksPerWorkspaceRank = 3;

bool IsSuccess(int status) { return status >= kOk && status < kFirstRedirect; }

// Statuses that state to clients that the request has not run.
bool PromisesNotRun(int status) {
  return status == kUnavailable || status == kTooMany ||
         status == kRequestTimeout || status == kOtherProcess;
}

std::optional<int64_t> ReadNumber(const std::string& text) {
  int64_t value = 0;
  const auto parsed =
      std::from_chars(text.data(), text.data() + text.size(), value);
  if (parsed.ec != std::errc()) {
    return std::nullopt;
  }
  return value;
}

std::string FormatSeconds(milliseconds span) {
  constexpr double kMillisPerSecond = 1000;
  constexpr size_t kLongest = 32;
  std::array<char, kLongest> text{};
  std::snprintf(text.data(), text.size(), "%.3f",
                static_cast<double>(span.count()) / kMillisPerSecond);
  return text.data();
}

}  // namespace

relay_request::relay_request(relay_environment& environment,
                             client_request request, client_answer& answer)
    : environment_(environment),
      request_(std::move(request)),
      answer_(answer) {}

relay_request::~relay_request() {
  if (attempt_ != nullptr) {
    CloseAttempt(upstream_outcome::kNeutral);
  }
}

void relay_request::Start() {
  request_id_ = request_.head.headers.Get(environment_.names.request_id);
  record_.request_id = request_id_;
  tables_ = environment_.tables();
  if (!PassGate()) {
    return;
  }
  SetTimeLimit();
  const milliseconds leaving = environment_.leaving_for();
  if (leaving > environment_.terms.leave_refuse_after) {
    Refuse(kUnavailable, "leaving", environment_.terms.other_node_retry);
    return;
  }
  shape_ = ParseGeneration(
      request_.head.headers.Get(environment_.names.token_counts),
      request_.head.headers.Get(environment_.names.prompt_parts));
  if (!PassAllotment()) {
    return;
  }
  service_ = ChooseService(*gate_.route, environment_.draw());
  record_.service = service_;
  const service_pool* pool = tables_.tables->FindPool(service_);
  if (pool != nullptr && pool->engine.has_value()) {
    cache_tokens_ = pool->engine->cache_tokens;
  }
  // The workspace's rank goes before the route's.
  const int workspace_rank =
      gate_.workspace == nullptr ? 0 : gate_.workspace->rank;
  urgency_ = std::clamp(
      workspace_rank * kRanksPerWorkspaceRank +
          std::clamp(gate_.route->rank, 0, kRanksPerWorkspaceRank - 1),
      0, kUrgencies - 1);
  draw_ = environment_.draw();
  environment_.repeats.NoteRequest(service_, environment_.clock());
  TryNext();
}

bool relay_request::PassGate() {
  const http_headers& headers = request_.head.headers;
  const std::string host = headers.Get("Host");
  const std::string key = headers.Get(environment_.names.key);
  const std::string_view target = request_.head.target;
  const gate_request asked{host, target.substr(0, target.find('?')),
                           headers.Has(environment_.names.key)
                               ? std::optional<std::string_view>(key)
                               : std::nullopt};
  gate_ = DecideGate(asked, tables_, environment_.gate, environment_.clock());
  record_.tables_age = gate_.tables_age;
  if (tables_.tables != nullptr) {
    record_.tables_version = tables_.tables->map().version;
  }
  if (gate_.route != nullptr) {
    record_.route = gate_.route->name;
  }
  if (gate_.workspace != nullptr) {
    record_.workspace = gate_.workspace->name;
  }
  switch (gate_.verdict) {
    case gate_verdict::kPass:
      return true;
    case gate_verdict::kNoRoute:
      Refuse(kNotFound, "no_route", milliseconds(0));
      return false;
    case gate_verdict::kUnknownKey:
      Refuse(kUnauthorized, "unknown_key", milliseconds(0));
      return false;
    case gate_verdict::kTablesUnknown:
    case gate_verdict::kTablesStale:
      Refuse(kUnavailable, std::string(ToString(gate_.verdict)),
             environment_.terms.other_node_retry);
      return false;
  }
  return false;
}

bool relay_request::PassAllotment() {
  const workspace_entry* workspace = gate_.workspace;
  if (workspace == nullptr || workspace->tokens_per_second <= 0) {
    return true;
  }
  allotment_limit limit{workspace->tokens_per_second, workspace->burst_tokens};
  double amount = 1;
  if (workspace->counts_tokens) {
    limit = WithTolerance(limit, environment_.allotment_overage);
    const bool stated =
        request_.head.headers.Has(environment_.names.token_counts);
    amount = stated ? static_cast<double>(shape_.TotalTokens())
                    : workspace->plain_request_tokens;
  }
  const allotment_decision decision =
      environment_.allotments.Take(workspace->name, limit, amount,
                                   environment_.nodes(), environment_.clock());
  record_.allotment_amount = amount;
  record_.allotment_level = decision.level;
  if (!decision.granted) {
    Refuse(kTooMany, "over_allotment", decision.wait);
    return false;
  }
  allotted_ = amount;
  return true;
}

void relay_request::SetTimeLimit() {
  const std::optional<int64_t> stated =
      ReadNumber(request_.head.headers.Get(environment_.names.remaining_ms));
  milliseconds given = environment_.terms.default_time;
  if (stated.has_value()) {
    given = milliseconds(std::max<int64_t>(*stated, 0));
  }
  if (gate_.route->timeout.count() > 0) {
    given = std::min(given, gate_.route->timeout);
  }
  record_.time_given = given;
  time_limit_ = request_.arrived_at + given;
}

milliseconds relay_request::TimeLeft(time_point now) const {
  return std::chrono::duration_cast<milliseconds>(time_limit_ - now);
}

placement_request relay_request::AskPlacement() const {
  return {service_,      environment_.availability_zone,
          shape_,        urgency_,
          cache_tokens_, tried_,
          draw_};
}

void relay_request::TryNext() {
  const time_point now = environment_.clock();
  const std::optional<placement> placed =
      environment_.board.Choose(AskPlacement(), now);
  if (!placed.has_value()) {
    EndWithout(DecideFinal(any_may_have_run_, answer_begun_, false),
               "no_upstream", environment_.terms.no_upstream_retry);
    return;
  }
  if (record_.upstreams_used > 0 &&
      !environment_.repeats.TryRepeat(service_, environment_.nodes(), now)) {
    EndWithout(DecideFinal(any_may_have_run_, answer_begun_, false),
               "repeats_used_up", environment_.terms.other_node_retry);
    return;
  }
  Send(*placed);
}

std::string relay_request::Format(const placement& placed) const {
  forwarded_request set;
  set.upstream_id = placed.upstream.id;
  set.remaining = std::max(TimeLeft(environment_.clock()), milliseconds(1));
  set.workspace = record_.workspace;
  if (cache_tokens_ > 0) {
    set.urgency = urgency_;
  }
  set.last_event_id = last_event_;
  return FormatForwarded(request_.head, request_.body, set, environment_.names);
}

void relay_request::Send(const placement& placed) {
  const time_point now = environment_.clock();
  record_.upstream = placed.upstream.id;
  record_.candidates = placed.candidates;
  record_.running_there = placed.running;
  record_.unread_there = placed.unread_tokens;
  record_.expected_first = placed.expected_first;
  record_.peer_age = placed.peer_age;
  attempt_ = std::make_unique<attempt>();
  attempt_->placed = placed;
  attempt_->started_at = now;
  attempt_->last_byte = now;
  tried_.push_back(placed.upstream.id);
  splitter_.Clear();
  environment_.board.NoteSent(placed.upstream.id, placed.work, shape_, now);
  const exchange_request sent{
      placed.upstream.id, placed.upstream.address,
      Format(placed),     environment_.names.request_id,
      request_id_,        request_.head.method == "HEAD"};
  attempt_->exchange = environment_.links.Start(
      sent, {[this](const message_head& head) { OnHead(head); },
             [this](std::string_view bytes) { OnBody(bytes); },
             [this](exchange_end how) { OnEnd(how); }});
}

bool relay_request::IsForeign(const message_head& head) const {
  if (!IsSuccess(head.status)) {
    return false;
  }
  return !head.headers.Has(environment_.names.signature) ||
         head.headers.Has("Content-Encoding") ||
         (!request_id_.empty() &&
          head.headers.Get(environment_.names.request_id) != request_id_);
}

std::optional<attempt_failure> relay_request::FailureOf(
    const message_head& head) const {
  if (head.status == kOtherProcess) {
    return attempt_failure::kOtherProcess;
  }
  if (head.headers.Has(environment_.names.not_run)) {
    return attempt_failure::kDeclined;
  }
  if (IsForeign(head)) {
    return attempt_failure::kMalformed;
  }
  if (head.status >= kFirstServerError || PromisesNotRun(head.status)) {
    return attempt_failure::kErrorAnswer;
  }
  return std::nullopt;
}

void relay_request::OnHead(const message_head& head) {
  const time_point now = environment_.clock();
  environment_.board.NoteByte(attempt_->placed.upstream.id, now);
  attempt_->last_byte = now;
  attempt_->head = head;
  const bool event_stream =
      head.headers.Get("Content-Type").starts_with("text/event-stream");
  attempt_->is_stream =
      event_stream && IsSuccess(head.status) && !FailureOf(head).has_value();
}

void relay_request::NoteBegun() {
  attempt_->begun = true;
  const time_point now = environment_.clock();
  environment_.board.NoteBegun(attempt_->placed.upstream.id,
                               attempt_->placed.work, now);
  if (!counted_begun_) {
    counted_begun_ = true;
    record_.first_byte =
        std::chrono::duration_cast<milliseconds>(now - request_.arrived_at);
    if (!record_.workspace.empty()) {
      environment_.on_begun(record_.workspace);
    }
  }
}

void relay_request::OnBody(std::string_view bytes) {
  const time_point now = environment_.clock();
  environment_.board.NoteByte(attempt_->placed.upstream.id, now);
  if (attempt_->begun) {
    record_.longest_pause = std::max(
        record_.longest_pause,
        std::chrono::duration_cast<milliseconds>(now - attempt_->last_byte));
  }
  attempt_->last_byte = now;
  if (attempt_->is_stream) {
    PassEvents(bytes);
    return;
  }
  attempt_->body.append(bytes);
}

void relay_request::PassEvents(std::string_view bytes) {
  for (const raw_event& event : splitter_.Feed(bytes)) {
    if (!attempt_->begun) {
      NoteBegun();
    }
    const bool known = event.id.has_value() && last_event_.has_value() &&
                       *event.id <= *last_event_;
    if (known) {
      continue;
    }
    if (!answer_begun_) {
      answer_begun_ = true;
      answer_.Begin(attempt_->head->status,
                    ForwardedAnswerHeaders(*attempt_->head));
    }
    if (event.id.has_value()) {
      last_event_ = event.id;
    }
    answer_.Add(event.bytes);
  }
  CheckBacklog();
}

void relay_request::CheckBacklog() {
  if (attempt_ == nullptr || attempt_->exchange == nullptr) {
    return;
  }
  const bool pause = answer_.unsent() > environment_.terms.max_client_backlog;
  if (pause != attempt_->paused) {
    attempt_->paused = pause;
    attempt_->exchange->SetReading(!pause);
  }
}

void relay_request::OnEnd(exchange_end how) {
  switch (how) {
    case exchange_end::kNoConnection:
      Fail(attempt_failure::kNoConnection);
      return;
    case exchange_end::kBroken:
      Fail(attempt_failure::kBroken);
      return;
    case exchange_end::kMalformed:
      Fail(attempt_failure::kMalformed);
      return;
    case exchange_end::kComplete:
      OnWholeAnswer();
      return;
  }
}

void relay_request::OnWholeAnswer() {
  const std::optional<attempt_failure> failure = FailureOf(*attempt_->head);
  if (failure.has_value()) {
    Fail(*failure);
    return;
  }
  if (!attempt_->is_stream) {
    PassWhole();
    return;
  }
  const int status = attempt_->head->status;
  if (!splitter_.rest().empty() && answer_begun_) {
    answer_.Add(splitter_.rest());
  }
  if (!answer_begun_) {
    // A stream without an event.
    answer_.Send(status, ForwardedAnswerHeaders(*attempt_->head),
                 splitter_.rest(), std::nullopt);
  } else {
    answer_.End();
  }
  CloseAttempt(upstream_outcome::kGood);
  Ended(status, "answered");
}

void relay_request::PassWhole() {
  if (!attempt_->begun) {
    NoteBegun();
  }
  const message_head& head = *attempt_->head;
  const int status = head.status;
  const bool head_only = request_.head.method == "HEAD";
  answer_.Send(status, ForwardedAnswerHeaders(head), attempt_->body,
               head_only ? head.content_length : std::nullopt);
  CloseAttempt(status < kFirstServerError ? upstream_outcome::kGood
                                          : upstream_outcome::kBad);
  Ended(status, "answered");
}

void relay_request::Fail(attempt_failure failure) {
  record_.last_failure = std::string(ToString(failure));
  const time_point now = environment_.clock();
  const std::string upstream = attempt_->placed.upstream.id;
  const bool sent = failure != attempt_failure::kNoConnection;
  if (sent) {
    ++record_.upstreams_used;
  } else {
    ++record_.connect_tries;
  }
  any_may_have_run_ = any_may_have_run_ || !IsCertainlyNotRun(failure);
  const bool ran_unseen = !IsCertainlyNotRun(failure) && cache_tokens_ == 0;
  if (ran_unseen && !attempt_->begun) {
    NoteBegun();
  }
  const repeat_view view{failure,
                         gate_.route->MayRunTwice(),
                         answer_begun_,
                         gate_.route->resumable,
                         record_.upstreams_used,
                         gate_.route->max_attempts,
                         TimeLeft(now).count() > 0};
  const bool may_repeat =
      MayRepeat(view) &&
      record_.connect_tries < environment_.terms.max_connect_tries;
  // An upstream's own failure is passed on as it is, unless its status would
  // state to the client that the request has not run.
  const bool pass_on =
      failure == attempt_failure::kErrorAnswer && !may_repeat &&
      !answer_begun_ &&
      (!PromisesNotRun(attempt_->head->status) || gate_.route->MayRunTwice());
  if (pass_on) {
    PassWhole();
    return;
  }
  switch (failure) {
    case attempt_failure::kNoConnection:
      CloseAttempt(upstream_outcome::kUnreachable);
      break;
    case attempt_failure::kDeclined:
      CloseAttempt(upstream_outcome::kFull);
      break;
    case attempt_failure::kSilent:
      CloseAttempt(upstream_outcome::kSilent);
      environment_.links.DropIdle(upstream);
      break;
    case attempt_failure::kOtherProcess:
    case attempt_failure::kBroken:
    case attempt_failure::kMalformed:
    case attempt_failure::kErrorAnswer:
      CloseAttempt(upstream_outcome::kBad);
      break;
  }
  if (may_repeat) {
    TryNext();
    return;
  }
  EndWithout(
      DecideFinal(any_may_have_run_, answer_begun_, TimeLeft(now).count() <= 0),
      std::string(ToString(failure)), environment_.terms.other_node_retry);
}

void relay_request::CloseAttempt(upstream_outcome outcome) {
  const std::unique_ptr<attempt> closed = std::move(attempt_);
  environment_.board.NoteEnded(closed->placed.upstream.id, closed->placed.work,
                               closed->begun, outcome, environment_.clock());
  closed->exchange->Cancel();
  // The exchange may be what called this.
  environment_.loop.Defer([dropped = closed->exchange] {});
}

void relay_request::Tick(time_point now) {
  if (ended_ || gate_.route == nullptr) {
    return;
  }
  if (TimeLeft(now).count() <= 0) {
    if (attempt_ != nullptr) {
      any_may_have_run_ = any_may_have_run_ || attempt_->exchange->sent();
      CloseAttempt(attempt_->begun ? upstream_outcome::kNeutral
                                   : upstream_outcome::kBad);
    }
    EndWithout(DecideFinal(any_may_have_run_, answer_begun_, true),
               "out_of_time", environment_.terms.other_node_retry);
    return;
  }
  CheckBacklog();
  CheckSilence(now);
}

bool relay_request::IsEngineSilent(milliseconds quiet, time_point now) const {
  const relay_terms& terms = environment_.terms;
  const std::string& id = attempt_->placed.upstream.id;
  const bool to_this_node =
      quiet > terms.engine_silence &&
      environment_.board.Silence(id, now) > terms.engine_silence;
  const bool to_all =
      environment_.board.SilenceToAll(id, now) > terms.engine_silence;
  return to_this_node && (to_all || quiet > terms.engine_silence_to_one);
}

void relay_request::CheckSilence(time_point now) {
  if (attempt_ == nullptr || attempt_->paused || !attempt_->exchange->sent()) {
    return;
  }
  const bool could_go_on =
      gate_.route->MayRunTwice() &&
      record_.upstreams_used + 1 < gate_.route->max_attempts;
  const milliseconds quiet =
      std::chrono::duration_cast<milliseconds>(now - attempt_->last_byte);
  if (cache_tokens_ > 0) {
    if (could_go_on && IsEngineSilent(quiet, now)) {
      Fail(attempt_failure::kSilent);
    }
    return;
  }
  const milliseconds limit(static_cast<milliseconds::rep>(
      environment_.terms.plain_silence_share *
      static_cast<double>(record_.time_given.count())));
  if (quiet > limit && could_go_on) {
    Fail(attempt_failure::kSilent);
  }
}

void relay_request::ClientLeft() {
  if (ended_) {
    return;
  }
  if (attempt_ != nullptr) {
    CloseAttempt(upstream_outcome::kNeutral);
  }
  Ended(0, "client_left");
}

void relay_request::GiveUp(const std::string& reason) {
  if (ended_) {
    return;
  }
  if (attempt_ != nullptr) {
    any_may_have_run_ = any_may_have_run_ || attempt_->exchange->sent();
    CloseAttempt(upstream_outcome::kNeutral);
  }
  EndWithout(DecideFinal(any_may_have_run_, answer_begun_, false), reason,
             environment_.terms.other_node_retry);
}

void relay_request::EndWithout(final_answer how, const std::string& reason,
                               milliseconds retry_after) {
  switch (how) {
    case final_answer::kNotRun:
      if (allotted_ > 0) {
        environment_.allotments.Return(record_.workspace, allotted_);
      }
      Refuse(kUnavailable, reason, retry_after);
      return;
    case final_answer::kUnknown:
      Refuse(kBadGateway, reason, milliseconds(0));
      return;
    case final_answer::kTimeout:
      Refuse(kGatewayTimeout, reason, milliseconds(0));
      return;
    case final_answer::kBreak:
      answer_.Break();
      Ended(kBadGateway, reason);
      return;
  }
}

void relay_request::Refuse(int status, const std::string& reason,
                           milliseconds retry_after) {
  http_headers headers = {{"Content-Type", "application/json"}};
  if (!request_id_.empty()) {
    headers.Add(environment_.names.request_id, request_id_);
  }
  if (retry_after.count() > 0) {
    headers.Add("Retry-After", FormatSeconds(retry_after));
  }
  answer_.Send(status, headers, "{\"reason\":\"" + reason + "\"}",
               std::nullopt);
  Ended(status, reason);
}

void relay_request::Ended(int status, const std::string& reason) {
  ended_ = true;
  record_.status = status;
  record_.reason = reason;
  record_.total = std::chrono::duration_cast<milliseconds>(
      environment_.clock() - request_.arrived_at);
  environment_.on_ended(record_);
}

}  // namespace skylarkcroft
