#include "standins/engine/engine_standin.h"

#include <algorithm>
#include <limits>
#include <nlohmann/json.hpp>
#include <utility>

#include "skylarkcroft/internal/skylarkcroft_error.h"
#include "skylarkcroft/internal/skylarkcroft_json_reader.h"
#include "standins/engine/completion_request.h"
#include "standins/engine/engine_job.h"

namespace skylarkcroft::standin {
namespace {

constexpr int kOk = 200;
constexpr int kNotFound = 404;
constexpr int kConflict = 409;
constexpr int kTooMany = 429;
constexpr int kInternalError = 500;
constexpr int kUnavailable = 503;
constexpr const char* kRetryAfterSeconds = "1";
constexpr milliseconds kSamplePeriod{100};
constexpr int64_t kMillisPerSecond = 1000;
// Room for the tokens of one running request, beside the prefix cache.
constexpr int64_t kKvTokensPerSlot = 8192;

std::vector<fault_mode> EngineFaults() {
  return {fault_mode::kNone, fault_mode::kRefuse,     fault_mode::kError,
          fault_mode::kHang, fault_mode::kBreakAfter, fault_mode::kSilent,
          fault_mode::kSlow};
}

engine_assignment Initial(const std::string& model) {
  engine_assignment assignment;
  assignment.model = model;
  return assignment;
}

bool Serves(const engine_assignment& assignment, const std::string& model) {
  return assignment.model.empty() || assignment.model == model ||
         std::find(assignment.adapters.begin(), assignment.adapters.end(),
                   model) != assignment.adapters.end();
}

int64_t ParseSequence(const std::string& text) {
  if (text.empty()) {
    return 0;
  }
  const nlohmann::json number = ParseJson(text);
  if (!number.is_number_integer()) {
    throw config_error("after", "'" + text + "' is not a whole number",
                       "send the last sequence number read");
  }
  return number.get<int64_t>();
}

std::string ReadRequestId(const std::string& body) {
  const nlohmann::json document = ParseJson(body);
  return json_reader(document, "$", {"request_id"}).Name("request_id");
}

}  // namespace

engine_standin::engine_standin(event_loop& loop, const engine_options& options,
                               clock_fn clock)
    : loop_(loop),
      options_(options),
      clock_(std::move(clock)),
      scheduler_(
          options.speeds,
          [this](job_id id, time_point now) { return StartJob(id, now); }),
      cache_(options.prefix_cache_tokens),
      events_(options.event_lag, options.event_loss, options.seed),
      orders_(options.fencing, options.model_load_time, Initial(options.model)),
      rate_since_(clock_()),
      server_(
          loop, options.listen, options.seed, EngineFaults(),
          {[this](const http_exchange_ptr& exchange) { Handle(exchange); },
           [this] { return ToJson(stats()); },
           [this] { scheduler_.SetSlowFactor(server_.faults().factor()); }}),
      load_(options.load_lag, Measure(clock_()), clock_()),
      sample_timer_(loop.Every(kSamplePeriod, [this] { Sample(clock_()); })) {}

engine_standin::~engine_standin() = default;

engine_stats engine_standin::stats() const {
  engine_stats stats = stats_;
  stats.max_running = scheduler_.max_running();
  return stats;
}

void engine_standin::Handle(const http_exchange_ptr& exchange) {
  const http_request& request = exchange->request();
  const std::string path = request.path();
  if (path == "/v1/completions" || path == "/v1/chat/completions") {
    HandleCompletion(exchange);
  } else if (path == "/v1/cancel") {
    HandleCancel(*exchange);
  } else if (path == "/kv/export") {
    HandleExport(*exchange);
  } else if (path == "/kv/import") {
    HandleImport(*exchange);
  } else if (path == "/load") {
    HandleLoad(*exchange);
  } else if (path == "/events") {
    HandleEvents(*exchange);
  } else if (path == "/orders" && request.method == "POST") {
    HandleOrder(*exchange);
  } else if (path == "/orders") {
    ReplyJson(*exchange, kOk, ToJson(orders_, clock_()));
  } else {
    ReplyError(*exchange, kNotFound, "no such path: " + path);
  }
}

void engine_standin::HandleCompletion(const http_exchange_ptr& exchange) {
  const time_point now = clock_();
  ++stats_.requests;
  stats_.received_while_leaving += server_.leaving() ? 1 : 0;
  const std::optional<refusal> refused = CheckState(now);
  if (refused.has_value()) {
    ReplyError(*exchange, refused->status, refused->message,
               {{"Retry-After", kRetryAfterSeconds}});
    return;
  }
  completion_request request = ParseCompletionRequest(exchange->request());
  const job_id id = next_job_++;
  if (request.request_id.empty()) {
    request.request_id = "request-" + std::to_string(id);
  }
  const fault drawn = server_.faults().Draw();
  scheduler_.SetSlowFactor(server_.faults().factor());
  if (ApplyFault(drawn, exchange)) {
    return;
  }
  std::optional<int64_t> break_after;
  if (drawn.mode == fault_mode::kBreakAfter) {
    break_after = drawn.tokens;
  }
  auto job = std::make_unique<engine_job>(id, std::move(request), exchange,
                                          break_after, now,
                                          WallNowMs() / kMillisPerSecond);
  CheckRequest(*job, now);
  Accept(std::move(job), *exchange, now);
}

std::optional<engine_standin::refusal> engine_standin::CheckState(
    time_point now) const {
  if (server_.leaving()) {
    return refusal{kUnavailable, "the engine is leaving"};
  }
  if (orders_.LoadingAt(now)) {
    return refusal{kUnavailable, "the engine is loading a model"};
  }
  if (orders_.ActualAt(now).draining) {
    return refusal{kUnavailable, "the engine is draining"};
  }
  if (scheduler_.waiting() >= options_.max_waiting) {
    return refusal{kTooMany, "too many requests are waiting"};
  }
  return std::nullopt;
}

void engine_standin::CheckRequest(const engine_job& job, time_point now) const {
  const completion_request& request = job.request();
  const engine_assignment actual = orders_.ActualAt(now);
  if (!Serves(actual, request.model)) {
    throw config_error("$.model", "'" + request.model + "' is not loaded",
                       "ask for '" + actual.model + "'");
  }
  if (job.tokens_left() < 0) {
    throw config_error("Last-Event-ID", "lies beyond the answer",
                       "send the number of tokens delivered");
  }
}

bool engine_standin::ApplyFault(const fault& drawn,
                                const http_exchange_ptr& exchange) {
  switch (drawn.mode) {
    case fault_mode::kRefuse:
      ReplyError(*exchange, kUnavailable, "refused by an injected fault",
                 {{"Retry-After", kRetryAfterSeconds}});
      return true;
    case fault_mode::kError:
      ReplyError(*exchange, kInternalError, "failed by an injected fault");
      return true;
    case fault_mode::kHang:
      server_.Hang(exchange);
      return true;
    default:
      return false;
  }
}

void engine_standin::Accept(std::unique_ptr<engine_job> job,
                            http_exchange& exchange, time_point now) {
  const job_id id = job->id();
  const batch_job scheduled{id, job->request().priority, job->tokens_left()};
  stats_.resumed += job->request().resume ? 1 : 0;
  exchange.OnPeerGone([this, id] {
    // A silent connection may outlive its job.
    stats_.cancelled += static_cast<int64_t>(jobs_.count(id));
    StopJob(id, false);
  });
  engine_job& accepted = *job;
  jobs_.emplace(id, std::move(job));
  if (scheduled.tokens == 0) {
    accepted.Start(0);
    accepted.Finish();
    jobs_.erase(id);
    return;
  }
  scheduler_.Submit(scheduled, now);
  Arm();
}

std::optional<int64_t> engine_standin::StartJob(job_id id, time_point now) {
  const auto found = jobs_.find(id);
  engine_job& job = *found->second;
  if (job.ExpiredAt(now)) {
    job.Refuse(kUnavailable, "the deadline passed before a slot was free");
    jobs_.erase(found);
    return std::nullopt;
  }
  ++stats_.runs[job.request().request_id];
  const int64_t wanted = job.blocks().tokens + job.request().delivered;
  const int64_t cached = std::min(wanted, CachedTokens(job, now));
  stats_.cached_tokens += cached;
  stats_.prefill_tokens += wanted - cached;
  job.Start(std::min(cached, job.blocks().tokens));
  return wanted - cached;
}

int64_t engine_standin::CachedTokens(const engine_job& job, time_point now) {
  int64_t cached = cache_.Use(job.blocks());
  events_.Add(cache_.Store(job.blocks()), now);
  if (!job.request().resume) {
    return cached;
  }
  const int64_t imported = imports_.Take(job.request().request_id, job.seed());
  if (imported >= 0) {
    cached = job.blocks().tokens + imported;
  }
  return cached;
}

void engine_standin::Advance() {
  if (server_.ended()) {
    jobs_.clear();
    step_timer_ = nullptr;
    return;
  }
  for (const job_id id : scheduler_.Advance(clock_())) {
    const auto found = jobs_.find(id);
    if (found == jobs_.end()) {
      continue;
    }
    engine_job& job = *found->second;
    if (job.BreaksHere()) {
      server_.AbortAfterFlush(job.exchange());
      StopJob(id, false);
      continue;
    }
    job.GenerateToken();
    ++stats_.generated_tokens;
    if (job.tokens_left() == 0) {
      jobs_.erase(found);
    }
  }
  Arm();
}

void engine_standin::Arm() {
  const std::optional<time_point> next = scheduler_.next_step();
  if (!next.has_value()) {
    step_timer_ = nullptr;
    return;
  }
  const duration wait = std::max(duration::zero(), *next - clock_());
  step_timer_ = loop_.After(wait, [this] { Advance(); });
}

void engine_standin::StopJob(job_id id, bool answer) {
  const auto found = jobs_.find(id);
  if (found == jobs_.end()) {
    return;
  }
  const std::unique_ptr<engine_job> job = std::move(found->second);
  jobs_.erase(found);
  scheduler_.Remove(id, clock_());
  if (answer && job->started()) {
    job->Stop();
  } else if (answer) {
    job->Refuse(kUnavailable, "cancelled before a slot was free");
  }
  Arm();
}

engine_job* engine_standin::FindJob(const std::string& request_id) {
  for (auto entry = jobs_.rbegin(); entry != jobs_.rend(); ++entry) {
    if (entry->second->request().request_id == request_id) {
      return entry->second.get();
    }
  }
  return nullptr;
}

void engine_standin::HandleCancel(http_exchange& exchange) {
  const std::string request_id = ReadRequestId(exchange.request().body);
  const engine_job* job = FindJob(request_id);
  if (job == nullptr) {
    ReplyError(exchange, kNotFound, "no such request: " + request_id);
    return;
  }
  ++stats_.cancelled;
  const nlohmann::json answer = {{"tokens", job->tokens()}};
  while (job != nullptr) {
    StopJob(job->id(), true);
    job = FindJob(request_id);
  }
  ReplyJson(exchange, kOk, answer.dump());
}

void engine_standin::HandleExport(http_exchange& exchange) {
  const std::string request_id = ReadRequestId(exchange.request().body);
  const engine_job* job = FindJob(request_id);
  if (job == nullptr || job->generated() == 0) {
    ReplyError(exchange, kNotFound, "no KV cache of request " + request_id);
    return;
  }
  ++stats_.exported;
  const nlohmann::json answer = {{"kv", EncodeKv({job->seed(), job->tokens()})},
                                 {"tokens", job->tokens()}};
  StopJob(job->id(), true);
  ReplyJson(exchange, kOk, answer.dump());
}

void engine_standin::HandleImport(http_exchange& exchange) {
  const nlohmann::json document = ParseJson(exchange.request().body);
  const json_reader reader(document, "$", {"request_id", "kv"});
  const std::string request_id = reader.Name("request_id");
  const kv_block kv = DecodeKv(reader.String("kv"));
  imports_.Import(request_id, kv);
  ++stats_.imported;
  const nlohmann::json answer = {{"tokens", kv.tokens}};
  ReplyJson(exchange, kOk, answer.dump());
}

void engine_standin::HandleOrder(http_exchange& exchange) {
  const time_point now = clock_();
  const engine_order order = ParseOrder(exchange.request().body);
  if (orders_.Apply(order, now) == order_outcome::kStaleFence) {
    const nlohmann::json answer = {{"fence", orders_.last().fence}};
    ReplyJson(exchange, kConflict, answer.dump());
    return;
  }
  ReplyJson(exchange, kOk, ToJson(orders_, now));
}

void engine_standin::HandleEvents(http_exchange& exchange) {
  const int64_t after =
      ParseSequence(exchange.request().QueryParameter("after"));
  ReplyJson(exchange, kOk, ToJson(events_.After(after, clock_())));
}

void engine_standin::HandleLoad(http_exchange& exchange) {
  const time_point now = clock_();
  Sample(now);
  ReplyJson(exchange, kOk, ToJson(load_.At(now)));
}

void engine_standin::Sample(time_point now) {
  const std::chrono::duration<double> elapsed = now - rate_since_;
  if (elapsed >= kSamplePeriod) {
    const int64_t generated = stats_.generated_tokens - sampled_tokens_;
    decode_tokens_per_s_ = static_cast<double>(generated) / elapsed.count();
    sampled_tokens_ = stats_.generated_tokens;
    rate_since_ = now;
  }
  ++samples_;
  load_.Record(Measure(now), now);
}

load_report engine_standin::Measure(time_point now) const {
  load_report report;
  report.seq = samples_;
  report.sampled_at_ms = WallNowMs();
  report.running = scheduler_.running();
  report.waiting = scheduler_.waiting();
  report.slots = options_.speeds.slots;
  report.kv_used_tokens = cache_.used_tokens();
  for (const auto& [id, job] : jobs_) {
    if (job->started()) {
      report.kv_used_tokens += job->blocks().tokens + job->tokens();
    }
  }
  report.kv_capacity_tokens =
      options_.prefix_cache_tokens + options_.speeds.slots * kKvTokensPerSlot;
  report.decode_tokens_per_s = decode_tokens_per_s_;
  report.prefill_tokens_per_s = options_.speeds.prefill_tokens_per_s;
  report.assignment = orders_.ActualAt(now);
  report.availability_zone = options_.availability_zone;
  report.leaving = server_.leaving();
  return report;
}

}  // namespace skylarkcroft::standin
