#include "standins/plain_service/plain_service_standin.h"

#include <event2/http.h>

#include <algorithm>
#include <cstdlib>
#include <memory>
#include <nlohmann/json.hpp>
#include <utility>

namespace skylarkcroft::standin {
namespace {

constexpr int kOk = 200;
constexpr int kNotFound = 404;
constexpr int kInternalError = 500;
constexpr int kUnavailable = 503;
constexpr const char* kRetryAfterSeconds = "1";
constexpr milliseconds kSamplePeriod{100};
constexpr std::string_view kOutcomePrefix = "/outcomes/";

std::vector<fault_mode> PlainServiceFaults() {
  return {fault_mode::kNone, fault_mode::kRefuse,     fault_mode::kError,
          fault_mode::kHang, fault_mode::kBreakAfter, fault_mode::kSilent,
          fault_mode::kSlow, fault_mode::kLoseAnswer, fault_mode::kNotRun,
          fault_mode::kLate};
}

std::string Dump(const nlohmann::json& json) {
  return json.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

std::string KeyOf(const http_request& request) {
  const std::string key = request.headers.Get("Idempotency-Key");
  return key.empty() ? request.headers.Get("X-Request-Id") : key;
}

std::string Decoded(const std::string& text) {
  const std::unique_ptr<char, decltype(&std::free)> decoded(
      evhttp_uridecode(text.c_str(), 0, nullptr), &std::free);
  return decoded == nullptr ? text : std::string(decoded.get());
}

std::string Echo(const http_request& request, int64_t run) {
  const size_t mark = request.target.find('?');
  const std::string query =
      mark == std::string::npos ? "" : request.target.substr(mark + 1);
  return Dump({{"method", request.method},
               {"path", request.path()},
               {"query", query},
               {"body", request.body},
               {"run", run}});
}

void ReplyNotRun(http_exchange& exchange, const std::string& reason) {
  ReplyError(exchange, kUnavailable, reason,
             {{"X-Not-Run", "true"}, {"Retry-After", kRetryAfterSeconds}});
}

}  // namespace

plain_service_standin::plain_service_standin(
    event_loop& loop, const plain_service_options& options, clock_fn clock)
    : loop_(loop),
      options_(options),
      clock_(std::move(clock)),
      server_(loop, options.listen, options.seed, PlainServiceFaults(),
              {[this](const http_exchange_ptr& exchange) { Handle(exchange); },
               [this] { return ToJson(stats()); },
               {}}),
      load_(options.load_lag, Measure(), clock_()),
      sample_timer_(loop.Every(kSamplePeriod, [this] { Sample(clock_()); })) {}

plain_service_standin::~plain_service_standin() = default;

plain_service_stats plain_service_standin::stats() const {
  plain_service_stats stats = stats_;
  stats.runs = ledger_.AllRuns();
  return stats;
}

void plain_service_standin::Handle(const http_exchange_ptr& exchange) {
  const std::string path = exchange->request().path();
  const bool get = exchange->request().method == "GET";
  if (get && path == "/load") {
    HandleLoad(*exchange);
  } else if (get && path.starts_with(kOutcomePrefix)) {
    HandleOutcome(exchange, Decoded(path.substr(kOutcomePrefix.size())));
  } else {
    HandleRequest(exchange);
  }
}

void plain_service_standin::HandleRequest(const http_exchange_ptr& exchange) {
  ++stats_.requests;
  stats_.received_while_leaving += server_.leaving() ? 1 : 0;
  if (server_.leaving()) {
    ReplyNotRun(*exchange, "the service is leaving");
    return;
  }
  if (static_cast<int>(waiting_.size()) >= options_.max_waiting) {
    ReplyNotRun(*exchange, "too many requests are waiting");
    return;
  }
  const fault drawn = server_.faults().Draw();
  if (drawn.mode == fault_mode::kNotRun) {
    ReplyNotRun(*exchange, "not run by an injected fault");
    return;
  }
  if (drawn.mode == fault_mode::kRefuse) {
    ReplyError(*exchange, kUnavailable, "refused by an injected fault",
               {{"Retry-After", kRetryAfterSeconds}});
    return;
  }
  const run_id id = next_run_++;
  // A request that waits is dropped with its connection; a run goes on.
  exchange->OnPeerGone([this, id] {
    std::erase_if(waiting_,
                  [id](const service_run& run) { return run.id == id; });
  });
  waiting_.push_back(
      {id, KeyOf(exchange->request()), drawn, exchange, {}, nullptr});
  StartWaiting();
}

void plain_service_standin::StartWaiting() {
  while (!waiting_.empty() &&
         static_cast<int>(running_.size()) < options_.slots) {
    service_run run = std::move(waiting_.front());
    waiting_.pop_front();
    StartRun(std::move(run));
  }
}

void plain_service_standin::StartRun(service_run run) {
  const int64_t count = run.key.empty() ? 1 : ledger_.Begin(run.key);
  const bool fails = run.drawn.mode == fault_mode::kError;
  run.outcome.status = fails ? kInternalError : kOk;
  run.outcome.body = Echo(run.exchange->request(), count);
  const double factor =
      run.drawn.mode == fault_mode::kSlow ? run.drawn.factor : 1;
  const auto wait =
      std::chrono::duration_cast<duration>(options_.service_time * factor);
  const run_id id = run.id;
  run.timer = loop_.After(wait, [this, id] { FinishRun(id); });
  running_.emplace(id, std::move(run));
  stats_.max_running =
      std::max(stats_.max_running, static_cast<int>(running_.size()));
}

void plain_service_standin::FinishRun(run_id id) {
  const auto found = running_.find(id);
  service_run run = std::move(found->second);
  running_.erase(found);
  if (!run.key.empty()) {
    ledger_.Finish(run.key, run.outcome);
    AnswerWaitingOutcomes(run.key);
  }
  Answer(std::move(run));
  StartWaiting();
}

void plain_service_standin::Answer(service_run run) {
  http_exchange& exchange = *run.exchange;
  switch (run.drawn.mode) {
    case fault_mode::kHang:
      server_.Hang(run.exchange);
      return;
    case fault_mode::kLoseAnswer:
      exchange.Abort();
      return;
    case fault_mode::kLate:
      AnswerLate(std::move(run));
      return;
    case fault_mode::kBreakAfter: {
      const auto sent = static_cast<size_t>(run.drawn.tokens);
      exchange.Start(run.outcome.status, {});
      exchange.Write(run.outcome.body.substr(0, sent));
      server_.AbortAfterFlush(run.exchange);
      return;
    }
    default:
      ReplyJson(exchange, run.outcome.status, run.outcome.body);
  }
}

void plain_service_standin::AnswerLate(service_run run) {
  const run_id id = run.id;
  run.timer = loop_.After(run.drawn.delay, [this, id] {
    const auto late = late_.find(id);
    const service_run ended = std::move(late->second);
    late_.erase(late);
    ReplyJson(*ended.exchange, ended.outcome.status, ended.outcome.body);
  });
  late_.emplace(id, std::move(run));
}

void plain_service_standin::HandleOutcome(const http_exchange_ptr& exchange,
                                          const std::string& key) {
  if (ledger_.Runs(key) == 0) {
    ReplyError(*exchange, kNotFound, "never run: " + key);
    return;
  }
  outcome_askers_[key].push_back(exchange);
  AnswerWaitingOutcomes(key);
}

void plain_service_standin::AnswerWaitingOutcomes(const std::string& key) {
  const std::optional<run_outcome> outcome = ledger_.Outcome(key);
  const auto askers = outcome_askers_.find(key);
  if (!outcome.has_value() || askers == outcome_askers_.end()) {
    return;
  }
  const std::string body =
      Dump({{"status", outcome->status}, {"body", outcome->body}});
  for (const http_exchange_ptr& asker : askers->second) {
    ReplyJson(*asker, kOk, body);
  }
  outcome_askers_.erase(askers);
}

void plain_service_standin::HandleLoad(http_exchange& exchange) {
  const time_point now = clock_();
  Sample(now);
  ReplyJson(exchange, kOk, ToJson(load_.At(now)));
}

void plain_service_standin::Sample(time_point now) {
  ++samples_;
  load_.Record(Measure(), now);
}

plain_load_report plain_service_standin::Measure() const {
  return {samples_,
          WallNowMs(),
          static_cast<int>(running_.size()),
          static_cast<int>(waiting_.size()),
          options_.slots,
          server_.leaving()};
}

std::string ToJson(const plain_service_stats& stats) {
  return Dump({{"requests", stats.requests},
               {"runs", stats.runs},
               {"max_running", stats.max_running},
               {"received_while_leaving", stats.received_while_leaving}});
}

std::string ToJson(const plain_load_report& report) {
  return Dump({{"seq", report.seq},
               {"sampled_at_ms", report.sampled_at_ms},
               {"running", report.running},
               {"waiting", report.waiting},
               {"slots", report.slots},
               {"leaving", report.leaving}});
}

}  // namespace skylarkcroft::standin
