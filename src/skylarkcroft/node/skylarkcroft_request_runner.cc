#include "skylarkcroft/node/skylarkcroft_request_runner.h"

#include <utility>

#include "skylarkcroft/admission/skylarkcroft_admission.h"
#include "skylarkcroft/attempt/skylarkcroft_completion_document.h"
#include "skylarkcroft/deferred/skylarkcroft_deferred_worker.h"
#include "skylarkcroft/handover/skylarkcroft_handover_record.h"
#include "skylarkcroft/internal/skylarkcroft_error.h"
#include "skylarkcroft/limits/skylarkcroft_caller_limiter.h"
#include "skylarkcroft/node/skylarkcroft_node_metrics.h"
#include "skylarkcroft/node/skylarkcroft_request_run.h"
#include "skylarkcroft/tables/skylarkcroft_active_tables.h"

namespace skylarkcroft {
namespace {

constexpr int kOk = 200;
constexpr milliseconds kSweepPeriod{1000};

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
  item.work_rank = request.matched_route.work_rank;
  item.estimated_tokens = request.EstimatedTokens();
  item.prompt_tokens =
      request.completion ? request.completion->PromptTokens() : 0;
  item.preemptible = request.completion && request.idempotent;
  item.deadline = request.deadline;
  return item;
}

deferred_run_result DeferredResult(const buffered_response& ended,
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
                        MakeCompletionDocument(
                            ended, {form.request_id, form.model, form.chat})},
          {}};
}

}  // namespace

request_runner::request_runner(request_runner_environment environment)
    : environment_(std::move(environment)),
      dispatch_timer_(
          environment_.loop.Every(kDispatchPeriod, [this] { DispatchNow(); })),
      sweep_timer_(environment_.loop.Every(kSweepPeriod, [this] { Sweep(); })) {
}

request_runner::~request_runner() = default;

void request_runner::Start(
    accepted_request request, time_point now,
    const std::function<void(const request_entry&)>& on_entry) {
  const work_item item = ItemOf(request);
  const bool needs_claim =
      !request.idempotent && !request.idempotency_key.empty();
  request_entry& entry =
      environment_.registry.Add(MakeEntry(std::move(request), now));
  entry.charged = true;
  request_run& run = *entry.run;
  on_entry(entry);
  ClaimAndSubmit(run, item, needs_claim);
}

void request_runner::ClaimAndSubmit(request_run& run, const work_item& item,
                                    bool needs_claim) {
  if (needs_claim) {
    run.TakeClaim([this, item] { Submit(item); });
  } else {
    Submit(item);
  }
}

void request_runner::RunDeferred(
    const deferred_request& stored,
    std::function<void(const deferred_run_result&)> done) {
  const time_point now = environment_.clock();
  const table_set_ptr tables = environment_.tables.current();
  const caller* from = tables->routes.FindCaller(stored.caller_name);
  const route* matched_route = tables->routes.FindRoute(stored.route_name);
  const auto fail = [&](refusal_reason reason, const std::string& detail) {
    done({{}, MakeProblem(reason, run_state::kNotRun, detail, stored.id)});
  };
  if (from == nullptr || matched_route == nullptr) {
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
    request = MakeAcceptedRequest(stored.original, *from, *matched_route,
                                  tables, now);
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
  const std::shared_ptr<buffered_response> result = entry.result;
  result->AddReader([result = std::weak_ptr<buffered_response>(result),
                     form = entry.form, done = std::move(done)] {
    const std::shared_ptr<buffered_response> ended = result.lock();
    if (ended->ended()) {
      done(DeferredResult(*ended, form));
    }
  });
  ClaimAndSubmit(*entry.run, item, needs_claim);
}

request_entry request_runner::MakeEntry(accepted_request request,
                                        time_point now) {
  request_entry entry;
  entry.id = request.id;
  entry.caller_name = request.from.name;
  entry.route_name = request.matched_route.name;
  entry.pool_name = request.target.name;
  entry.work_rank = request.matched_route.work_rank;
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

bool request_runner::Adopt(const handover_record& record) {
  const time_point now = environment_.clock();
  const table_set_ptr tables = environment_.tables.current();
  const caller* from = tables->routes.FindCaller(record.caller_name);
  const route* matched_route = tables->routes.FindRoute(record.route_name);
  if (from == nullptr || matched_route == nullptr) {
    return false;
  }
  try {
    accepted_request request = MakeAcceptedRequest(record.original, *from,
                                                   *matched_route, tables, now);
    request.id = record.id;
    request.deadline = now + milliseconds(record.deadline_left_ms);
    request_entry& entry =
        environment_.registry.Add(MakeEntry(std::move(request), now));
    entry.result->RestoreTokens(record.tokens);
    entry.result->SetUsage(record.usage);
    // It was admitted once; it does not queue again behind new requests.
    entry.run->Begin(now);
    return true;
  } catch (const config_error&) {
    return false;
  }
}

void request_runner::Submit(const work_item& item) {
  const time_point now = environment_.clock();
  request_entry* entry = environment_.registry.Find(item.request_id);
  const bool quarantined = entry != nullptr && entry->run != nullptr &&
                           entry->run->FailIfQuarantined(now);
  if (quarantined) {
    return;
  }
  const std::optional<rejection> rejected =
      environment_.admit.Submit(item, now);
  if (rejected && entry != nullptr && entry->run != nullptr) {
    entry->run->Fail(rejected->reason, "the node is over its capacity",
                     rejected->retry_after);
    return;
  }
  DispatchNow();
}

void request_runner::OnRunEnd(const std::string& id, int64_t actual_tokens) {
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

void request_runner::DispatchNow() {
  const time_point now = environment_.clock();
  const dispatch_decision decision = environment_.admit.Dispatch(now);
  for (const std::string& id : decision.preempt) {
    request_entry* entry = environment_.registry.Find(id);
    if (entry != nullptr && entry->run != nullptr) {
      entry->run->Pause(now);
    }
  }
  for (const rejected_request& rejected : decision.rejected) {
    request_entry* entry = environment_.registry.Find(rejected.request_id);
    if (entry != nullptr && entry->run != nullptr) {
      entry->run->Fail(rejected.details.reason,
                       "it could not be started in time",
                       rejected.details.retry_after);
    }
  }
  for (const std::string& id : decision.start) {
    request_entry* entry = environment_.registry.Find(id);
    if (entry != nullptr && entry->run != nullptr) {
      entry->run->Begin(now);
    }
  }
}

void request_runner::FailAll(refusal_reason reason, const std::string& detail) {
  constexpr std::chrono::seconds kRetrySoon{1};
  for (const auto& [id, entry] : environment_.registry.entries()) {
    // What is stored goes on at another node.
    if (entry.run != nullptr && !entry.deferred) {
      entry.run->Fail(reason, detail, kRetrySoon);
    }
  }
}

void request_runner::Sweep() {
  const time_point now = environment_.clock();
  const answer_settings& bounds = environment_.answers;
  for (const std::string& id :
       environment_.registry.Abandoned(now, bounds.detached_limit)) {
    environment_.registry.Find(id)->run->Fail(
        refusal_reason::kNotFound, "nobody read the answer", std::nullopt);
  }
  environment_.registry.DropExpired(now, bounds.retention);
}

}  // namespace skylarkcroft
