#include "skylarkcroft/node/skylarkcroft_front.h"

#include <algorithm>
#include <charconv>
#include <utility>

#include "skylarkcroft/attempt/skylarkcroft_completion_document.h"
#include "skylarkcroft/handover/skylarkcroft_peer_reader.h"
#include "skylarkcroft/internal/skylarkcroft_digest.h"
#include "skylarkcroft/internal/skylarkcroft_error.h"
#include "skylarkcroft/limits/skylarkcroft_caller_limiter.h"
#include "skylarkcroft/log/skylarkcroft_logger.h"
#include "skylarkcroft/node/skylarkcroft_node_metrics.h"
#include "skylarkcroft/tables/skylarkcroft_tables_in_force.h"

namespace skylarkcroft {
namespace {

constexpr int kOk = 200;
constexpr int kUnavailable = 503;
constexpr milliseconds kSweepPeriod{1000};
constexpr size_t kMaxDeferredBody = 128 * 1024;
constexpr std::chrono::seconds kRetrySoon{1};
constexpr std::string_view kRequestsPrefix = "/v1/requests/";
constexpr std::string_view kStreamSuffix = "/stream";
constexpr std::string_view kBearer = "Bearer ";

int64_t ParseLastEventId(const std::string& text) {
  int64_t offset = 0;
  std::from_chars(text.data(), text.data() + text.size(), offset);
  return std::max<int64_t>(0, offset);
}

problem NotRun(refusal_reason reason, const std::string& detail) {
  return MakeProblem(reason, run_state::kNotRun, detail, "");
}

problem NotRunRetrySoon(refusal_reason reason, const std::string& detail) {
  problem why = NotRun(reason, detail);
  why.retry_after = kRetrySoon;
  return why;
}

answer_form FormOf(const accepted_request& request) {
  answer_form form;
  form.request_id = request.id;
  if (!request.completion) {
    return form;
  }
  form.what = request.completion->stream ? answer_form::kind::kEventStream
                                         : answer_form::kind::kCompletion;
  form.chat = request.completion->chat();
  form.model = request.completion->model;
  return form;
}

work_item ItemOf(const accepted_request& request) {
  work_item item;
  item.request_id = request.id;
  item.caller_name = request.from.name;
  item.caller_weight = request.from.weight;
  item.pool = request.target.name;
  item.work_rank = request.via.work_rank;
  item.estimated_tokens = request.EstimatedTokens();
  item.prompt_tokens =
      request.completion ? request.completion->PromptTokens() : 0;
  item.preemptible = request.completion && request.idempotent;
  item.deadline = request.deadline;
  return item;
}

bool PrefersAsync(const http_request& request) {
  return request.headers.Get("Prefer").find("respond-async") !=
         std::string::npos;
}

// The answer to a deferred request that has no outcome yet.
http_response OpenReply(const std::string& id) {
  constexpr int kAccepted = 202;
  return {kAccepted,
          {{"X-Request-Id", id},
           {"Location", std::string(kRequestsPrefix) + id},
           {"Retry-After", std::to_string(kRetrySoon.count())},
           {"Preference-Applied", "respond-async"},
           {"Content-Type", "application/json"}},
          R"({"id":")" + id + R"(","status":"open"})"};
}

deferred_run_result DeferredResult(const answer& ended,
                                   const answer_form& form) {
  if (ended.failure()) {
    return {{}, ended.failure()};
  }
  if (ended.response()) {
    http_response response = *ended.response();
    response.headers = {{"X-Request-Id", form.request_id}};
    if (ended.response()->headers.Has("Content-Type")) {
      response.headers.Add("Content-Type",
                           ended.response()->headers.Get("Content-Type"));
    }
    return {response, {}};
  }
  return {http_response{kOk,
                        {{"X-Request-Id", form.request_id},
                         {"Content-Type", "application/json"}},
                        CompletionDocument(
                            ended, {form.request_id, form.model, form.chat})},
          {}};
}

}  // namespace

front::front(front_environment environment)
    : environment_(std::move(environment)),
      dispatch_timer_(
          environment_.loop.Every(kDispatchPeriod, [this] { DispatchNow(); })),
      sweep_timer_(environment_.loop.Every(kSweepPeriod, [this] { Sweep(); })) {
}

front::~front() = default;

bool front::Ready(time_point now) const {
  return ready_ && !refusing_ && environment_.limits.ready() &&
         environment_.tables.MayServe(
             now, environment_.config.tables.staleness_bound);
}

void front::RefuseNew() { refusing_ = true; }

std::string front::NextId() {
  return environment_.config.name + "." + environment_.incarnation + "." +
         std::to_string(next_number_++);
}

void front::OnRequest(const http_exchange_ptr& exchange) {
  const time_point now = environment_.clock();
  const std::string path = exchange->request().path();
  if (path == "/healthz") {
    exchange->Reply({kOk, {{"Content-Type", "text/plain"}}, "ok\n"});
    return;
  }
  if (path == "/readyz") {
    const bool ready = Ready(now);
    exchange->Reply({ready ? kOk : kUnavailable,
                     {{"Content-Type", "text/plain"}},
                     ready ? "ready\n" : "not ready\n"});
    return;
  }
  if (path.starts_with(kRequestsPrefix)) {
    OnRead(exchange, now);
    return;
  }
  OnNew(exchange, now);
}

const caller* front::Authenticate(const http_request& request,
                                  const table_set& tables) const {
  const std::string field = request.headers.Get("Authorization");
  if (!field.starts_with(kBearer)) {
    return nullptr;
  }
  return tables.routes.FindByKeyDigest(
      Sha256Hex(std::string_view{field}.substr(kBearer.size())));
}

void front::OnNew(const http_exchange_ptr& exchange, time_point now) {
  if (refusing_) {
    Refuse(exchange, NotRunRetrySoon(refusal_reason::kShuttingDown,
                                     "this node is leaving; send it again"));
    return;
  }
  if (!environment_.tables.MayServe(
          now, environment_.config.tables.staleness_bound)) {
    Refuse(exchange,
           NotRunRetrySoon(refusal_reason::kNotReady,
                           "this node cannot confirm that its tables are "
                           "current; send it again"));
    return;
  }
  const table_set_ptr tables = environment_.tables.current();
  const http_request& request = exchange->request();
  const caller* from = Authenticate(request, *tables);
  if (from == nullptr) {
    Refuse(exchange, NotRun(refusal_reason::kUnauthenticated,
                            "send Authorization: Bearer with a known key"));
    return;
  }
  const std::string path = request.path();
  const bool completion = IsCompletionPath(path);
  const std::string model = completion ? PeekModel(request.body) : "";
  const route_match match =
      tables->routes.Match({from->name, request.method, path, model});
  if (match.found == nullptr) {
    const bool wrong_method = match.failure == match_failure::kMethodNotAllowed;
    Refuse(exchange, NotRun(wrong_method ? refusal_reason::kMethodNotAllowed
                                         : refusal_reason::kNoRoute,
                            "no route of this caller fits the request"));
    return;
  }
  const pool* target = tables->pools.Find(match.found->pool);
  if (target->kind == pool_kind::kEngine && !completion) {
    Refuse(exchange, NotRun(refusal_reason::kNoRoute,
                            "engines answer only the completions form"));
    return;
  }
  try {
    Accept(exchange,
           MakeAcceptedRequest(request, *from, *match.found, tables, now), now);
  } catch (const config_error& invalid) {
    Refuse(exchange, NotRun(refusal_reason::kBadRequest, invalid.what()));
  }
}

void front::Accept(const http_exchange_ptr& exchange, accepted_request request,
                   time_point now) {
  if (request.via.key_required && !request.idempotent &&
      request.idempotency_key.empty()) {
    Refuse(exchange, NotRun(refusal_reason::kBadRequest,
                            "send an Idempotency-Key on this route"));
    return;
  }
  if (PrefersAsync(request.original)) {
    Defer(exchange, request, now);
    return;
  }
  const std::optional<duration> wait = environment_.limits.Admit(
      request.from.name, request.EstimatedTokens(), now);
  if (wait) {
    problem why = NotRun(refusal_reason::kOverCallerLimit,
                         "this caller's limit is used up for now");
    why.retry_after = std::chrono::ceil<std::chrono::seconds>(*wait);
    Refuse(exchange, why);
    return;
  }
  request.id = NextId();
  environment_.metrics.CountRequest(request.via.work_rank);
  const work_item item = ItemOf(request);
  const bool needs_claim =
      !request.idempotent && !request.idempotency_key.empty();
  request_entry& entry =
      environment_.registry.Add(MakeEntry(std::move(request), now));
  entry.charged = true;
  request_run& run = *entry.run;
  Attach(exchange, entry, entry.form);
  StartRun(run, item, needs_claim);
}

void front::StartRun(request_run& run, const work_item& item,
                     bool needs_claim) {
  if (needs_claim) {
    run.TakeClaim([this, item] { Submit(item); });
  } else {
    Submit(item);
  }
}

void front::Defer(const http_exchange_ptr& exchange,
                  const accepted_request& request, time_point now) {
  if (request.original.body.size() > kMaxDeferredBody) {
    Refuse(exchange, NotRun(refusal_reason::kBodyTooLarge,
                            "a deferred request has at most 128 KiB"));
    return;
  }
  deferred_request stored;
  stored.id =
      MakeDeferredId(environment_.config.name + "." + environment_.incarnation,
                     next_number_++);
  stored.caller_name = request.from.name;
  stored.route_name = request.via.name;
  stored.original.method = request.original.method;
  stored.original.target = request.original.target;
  stored.original.body = request.original.body;
  for (const char* name : {"Content-Type", "Idempotency-Key"}) {
    if (request.original.headers.Has(name)) {
      stored.original.headers.Add(name, request.original.headers.Get(name));
    }
  }
  stored.deadline_ms =
      environment_.wall_clock() + ElapsedMs(now, request.deadline);
  environment_.metrics.CountRequest(request.via.work_rank);
  environment_.deferred().Accept(
      stored, [this, exchange, id = stored.id](accept_outcome outcome) {
        if (outcome == accept_outcome::kStored) {
          exchange->Reply(OpenReply(id));
          return;
        }
        const bool unknown = outcome == accept_outcome::kUnknown;
        problem why = MakeProblem(
            refusal_reason::kStoreUnavailable,
            unknown ? run_state::kUnknown : run_state::kNotRun,
            unknown ? "it may have been stored; ask for it by its id"
                    : "it could not be stored; send it again",
            id);
        why.retry_after = kRetrySoon;
        Refuse(exchange, why);
      });
}

void front::RunDeferred(const deferred_request& stored,
                        std::function<void(const deferred_run_result&)> done) {
  const time_point now = environment_.clock();
  const table_set_ptr tables = environment_.tables.current();
  const caller* from = tables->routes.FindCaller(stored.caller_name);
  const route* via = tables->routes.FindRoute(stored.route_name);
  const auto fail = [&](refusal_reason reason, const std::string& detail) {
    done({{}, MakeProblem(reason, run_state::kNotRun, detail, stored.id)});
  };
  if (from == nullptr || via == nullptr) {
    fail(refusal_reason::kNoRoute, "its caller or route is no longer there");
    return;
  }
  const int64_t left_ms = stored.deadline_ms - environment_.wall_clock();
  if (left_ms <= 0) {
    fail(refusal_reason::kDeadlineUnreachable, "its deadline has passed");
    return;
  }
  accepted_request request;
  try {
    request = MakeAcceptedRequest(stored.original, *from, *via, tables, now);
  } catch (const config_error& invalid) {
    fail(refusal_reason::kBadRequest, invalid.what());
    return;
  }
  if (environment_.limits.Admit(from->name, request.EstimatedTokens(), now)) {
    fail(refusal_reason::kOverCallerLimit, "the caller's limit is used up");
    return;
  }
  request.id = stored.id;
  request.deadline = now + milliseconds(left_ms);
  if (!request.idempotent && request.idempotency_key.empty()) {
    request.idempotency_key = stored.id;
  }
  const bool needs_claim = !request.idempotent;
  const work_item item = ItemOf(request);
  request_entry made = MakeEntry(std::move(request), now);
  made.deferred = true;
  made.charged = true;
  request_entry& entry = environment_.registry.Add(std::move(made));
  const std::shared_ptr<answer> result = entry.result;
  result->AddReader([result = std::weak_ptr<answer>(result), form = entry.form,
                     done = std::move(done)] {
    const std::shared_ptr<answer> ended = result.lock();
    if (ended->ended()) {
      done(DeferredResult(*ended, form));
    }
  });
  StartRun(*entry.run, item, needs_claim);
}

void front::ReadDeferred(const http_exchange_ptr& exchange,
                         const std::string& id,
                         const std::string& caller_name) {
  environment_.deferred().Find(
      id, [this, exchange, id, caller_name](const deferred_status& found) {
        if (found.what == deferred_status::kind::kUnavailable) {
          problem why = MakeProblem(refusal_reason::kStoreUnavailable,
                                    run_state::kUnknown,
                                    "its state cannot be read; ask again", id);
          why.retry_after = kRetrySoon;
          Refuse(exchange, why);
          return;
        }
        if (found.what == deferred_status::kind::kMissing ||
            found.caller_name != caller_name) {
          Refuse(exchange,
                 MakeProblem(refusal_reason::kNotFound, run_state::kUnknown,
                             "no request of this caller has this id", id));
          return;
        }
        exchange->Reply(found.what == deferred_status::kind::kOpen
                            ? OpenReply(id)
                            : found.response);
      });
}

request_entry front::MakeEntry(accepted_request request, time_point now) {
  request_entry entry;
  entry.id = request.id;
  entry.caller_name = request.from.name;
  entry.route_name = request.via.name;
  entry.pool_name = request.target.name;
  entry.work_rank = request.via.work_rank;
  entry.idempotent = request.idempotent;
  entry.form = FormOf(request);
  entry.arrived = now;
  entry.unread_since = now;
  entry.estimated_tokens = request.EstimatedTokens();
  entry.run = std::make_unique<request_run>(
      environment_.runs, std::move(request),
      [this, id = entry.id](int64_t actual_tokens) {
        OnRunEnd(id, actual_tokens);
      });
  entry.result = entry.run->result();
  return entry;
}

bool front::Adopt(const handover_record& record) {
  const time_point now = environment_.clock();
  const table_set_ptr tables = environment_.tables.current();
  const caller* from = tables->routes.FindCaller(record.caller_name);
  const route* via = tables->routes.FindRoute(record.route_name);
  if (from == nullptr || via == nullptr) {
    return false;
  }
  try {
    accepted_request request =
        MakeAcceptedRequest(record.original, *from, *via, tables, now);
    request.id = record.id;
    request.deadline = now + milliseconds(record.deadline_left_ms);
    request_entry& entry =
        environment_.registry.Add(MakeEntry(std::move(request), now));
    entry.result->Preload(record.tokens);
    entry.result->SetUsage(record.usage);
    // It was admitted once; it does not queue again behind new requests.
    entry.run->Begin(now);
    return true;
  } catch (const config_error&) {
    return false;
  }
}

void front::Submit(const work_item& item) {
  const std::optional<refusal> refused =
      environment_.admit.Submit(item, environment_.clock());
  request_entry* entry = environment_.registry.Find(item.request_id);
  if (refused && entry != nullptr && entry->run != nullptr) {
    entry->run->Fail(refused->reason, "the node is over its capacity",
                     refused->retry_after);
    return;
  }
  DispatchNow();
}

void front::Attach(const http_exchange_ptr& exchange,
                   const request_entry& entry, const answer_form& form) {
  writers_.emplace_back();
  const auto place = std::prev(writers_.end());
  const std::string id = entry.id;
  *place = std::make_unique<answer_writer>(
      entry.result, exchange, form, [this, id, place](bool delivered) {
        OnWriterEnd(id, delivered);
        // The writer is still inside its own call.
        environment_.loop.Defer([this, place] { writers_.erase(place); });
      });
  (*place)->Start();
}

void front::OnWriterEnd(const std::string& id, bool /*delivered*/) {
  request_entry* entry = environment_.registry.Find(id);
  if (entry != nullptr) {
    entry->unread_since = environment_.clock();
  }
}

void front::OnRunEnd(const std::string& id, int64_t actual_tokens) {
  const time_point now = environment_.clock();
  environment_.admit.Finish(id, actual_tokens, now);
  request_entry* entry = environment_.registry.Find(id);
  if (entry == nullptr) {
    return;
  }
  if (entry->charged) {
    environment_.limits.Finish(entry->caller_name, entry->estimated_tokens,
                               actual_tokens);
  }
  environment_.metrics.RecordAnswer(entry->work_rank, now - entry->arrived);
  if (entry->result->failure()) {
    environment_.metrics.CountRefusal(entry->result->failure()->reason);
  }
  entry->unread_since = now;
  // The run is still inside its own call.
  environment_.loop.Defer(
      [run = std::shared_ptr<request_run>(std::move(entry->run))] {});
  environment_.loop.Defer([this] { DispatchNow(); });
}

void front::DispatchNow() {
  const time_point now = environment_.clock();
  const dispatch_decision decision = environment_.admit.Dispatch(now);
  for (const std::string& id : decision.preempt) {
    request_entry* entry = environment_.registry.Find(id);
    if (entry != nullptr && entry->run != nullptr) {
      entry->run->Pause(now);
    }
  }
  for (const late_refusal& refused : decision.refused) {
    request_entry* entry = environment_.registry.Find(refused.request_id);
    if (entry != nullptr && entry->run != nullptr) {
      entry->run->Fail(refused.why.reason, "it could not be started in time",
                       refused.why.retry_after);
    }
  }
  for (const std::string& id : decision.start) {
    request_entry* entry = environment_.registry.Find(id);
    if (entry != nullptr && entry->run != nullptr) {
      entry->run->Begin(now);
    }
  }
}

void front::OnRead(const http_exchange_ptr& exchange, time_point now) {
  const table_set_ptr tables = environment_.tables.current();
  const caller* from = Authenticate(exchange->request(), *tables);
  if (from == nullptr) {
    Refuse(exchange, NotRun(refusal_reason::kUnauthenticated,
                            "send Authorization: Bearer with a known key"));
    return;
  }
  std::string id = exchange->request().path().substr(kRequestsPrefix.size());
  const bool as_stream = id.ends_with(kStreamSuffix);
  if (as_stream) {
    id.resize(id.size() - kStreamSuffix.size());
  }
  if (IsDeferredId(id)) {
    ReadDeferred(exchange, id, from->name);
    return;
  }
  request_entry* entry = environment_.registry.Find(id);
  const bool moved = entry != nullptr && entry->moved;
  if ((entry == nullptr || moved) &&
      !exchange->request().headers.Has(kForwardedHeader) &&
      environment_.read_elsewhere(exchange, id)) {
    return;
  }
  if (entry == nullptr || entry->caller_name != from->name) {
    Refuse(exchange,
           MakeProblem(refusal_reason::kNotFound, run_state::kUnknown,
                       "no request of this caller has this id here", id));
    return;
  }
  entry->unread_since = now;
  answer_form form = entry->form;
  form.after_offset =
      ParseLastEventId(exchange->request().headers.Get("Last-Event-ID"));
  if (as_stream && form.what == answer_form::kind::kCompletion) {
    form.what = answer_form::kind::kEventStream;
  }
  Attach(exchange, *entry, form);
}

void front::Refuse(const http_exchange_ptr& exchange, const problem& why) {
  environment_.metrics.CountRefusal(why.reason);
  exchange->Reply(ToResponse(why));
}

void front::Sweep() {
  const time_point now = environment_.clock();
  const answer_settings& bounds = environment_.config.answers;
  for (const std::string& id :
       environment_.registry.Abandoned(now, bounds.detached_limit)) {
    environment_.registry.Find(id)->run->Fail(
        refusal_reason::kNotFound, "nobody read the answer", std::nullopt);
  }
  environment_.registry.DropExpired(now, bounds.retention);
}

}  // namespace skylarkcroft
