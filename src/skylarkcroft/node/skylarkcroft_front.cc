#include "skylarkcroft/node/skylarkcroft_front.h"

#include <algorithm>
#include <charconv>
#include <utility>

#include "skylarkcroft/deferred/skylarkcroft_deferred_worker.h"
#include "skylarkcroft/handover/skylarkcroft_read_forwarder.h"
#include "skylarkcroft/internal/skylarkcroft_digest.h"
#include "skylarkcroft/internal/skylarkcroft_error.h"
#include "skylarkcroft/limits/skylarkcroft_caller_limiter.h"
#include "skylarkcroft/node/skylarkcroft_node_metrics.h"
#include "skylarkcroft/node/skylarkcroft_request_runner.h"
#include "skylarkcroft/tables/skylarkcroft_active_tables.h"

namespace skylarkcroft {
namespace {

constexpr int kOk = 200;
constexpr int kUnavailable = 503;
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

}  // namespace

front::front(front_environment environment)
    : environment_(std::move(environment)) {}

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
  const std::string model = completion ? ParseModelName(request.body) : "";
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
  if (request.matched_route.key_required && !request.idempotent &&
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
  environment_.metrics.CountRequest(request.matched_route.work_rank);
  environment_.runner.Start(std::move(request), now,
                            [this, exchange](const request_entry& entry) {
                              Attach(exchange, entry, entry.form);
                            });
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
  stored.route_name = request.matched_route.name;
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
  environment_.metrics.CountRequest(request.matched_route.work_rank);
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
  http_response refusal = ToResponse(why);
  if (why.reason == refusal_reason::kShuttingDown) {
    refusal.headers.Add("Connection", "close");
  }
  exchange->Reply(refusal);
}

}  // namespace skylarkcroft
