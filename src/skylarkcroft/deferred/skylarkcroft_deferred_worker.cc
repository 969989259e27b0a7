#include "skylarkcroft/deferred/skylarkcroft_deferred_worker.h"

#include <utility>

namespace skylarkcroft {
namespace {

// Rows of a shard that are read at once.
constexpr size_t kMaxScanRows = 500;

// True when a retry may succeed.
bool IsTransient(refusal_reason reason) {
  switch (reason) {
    case refusal_reason::kQueueFull:
    case refusal_reason::kOverCallerLimit:
    case refusal_reason::kOverShare:
    case refusal_reason::kDeadlineUnreachable:
    case refusal_reason::kNoUpstream:
    case refusal_reason::kPromptQuarantined:
    case refusal_reason::kRequestQuarantined:
    case refusal_reason::kUpstreamFailed:
    case refusal_reason::kUpstreamTimeout:
    case refusal_reason::kStoreUnavailable:
    case refusal_reason::kClaimConflict:
    case refusal_reason::kNotReady:
    case refusal_reason::kShuttingDown:
      return true;
    default:
      return false;
  }
}

row_write PutOpenRequest(const deferred_request& request,
                         int64_t expected_version) {
  row_write write;
  write.row = {OpenRequestKey(request.id), expected_version + 1,
               EncodeDeferred(request)};
  write.expected_version = expected_version;
  return write;
}

}  // namespace

deferred_worker::deferred_worker(deferred_dependencies environment,
                                 const deferred_options& options)
    : environment_(std::move(environment)),
      options_(options),
      monitor_(options.lease),
      heartbeat_timer_(environment_.loop.Every(options.heartbeat_period,
                                               [this] { Heartbeat(); })),
      scan_timer_(
          environment_.loop.Every(options.scan_period, [this] { Scan(); })) {}

std::function<bool()> deferred_worker::Alive() const {
  return [alive = std::weak_ptr<bool>(alive_)] { return !alive.expired(); };
}

void deferred_worker::Heartbeat() {
  if (stopped_ || held_.empty()) {
    return;
  }
  row_write heartbeat;
  heartbeat.row = {WorkerKey(environment_.worker), ++heartbeat_version_, "{}"};
  environment_.commits.Write(heartbeat, [](row_outcome /*outcome*/) {});
}

void deferred_worker::Accept(const deferred_request& request,
                             std::function<void(accept_outcome)> done) {
  deferred_request mine = request;
  mine.worker = environment_.worker;
  environment_.commits.Write(PutOpenRequest(mine, 0),
                             [this, mine, done = std::move(done),
                              alive = Alive()](row_outcome outcome) {
                               if (!alive()) {
                                 return;
                               }
                               switch (outcome) {
                                 case row_outcome::kCommitted:
                                 // Ids are unique, so the existing row is
                                 // an earlier write of this request.
                                 case row_outcome::kConflict:
                                   HoldAndRun(mine, 1);
                                   done(accept_outcome::kStored);
                                   return;
                                 case row_outcome::kRejected:
                                   done(accept_outcome::kNotStored);
                                   return;
                                 case row_outcome::kUnknown:
                                   done(accept_outcome::kUnknown);
                                   return;
                               }
                             });
}

void deferred_worker::HoldAndRun(const deferred_request& request,
                                 int64_t version) {
  const bool first = held_.empty();
  auto held = std::make_shared<held_request>();
  held->request = request;
  held->version = version;
  held_[request.id] = held;
  if (first) {
    Heartbeat();
  }
  Run(held);
}

void deferred_worker::Run(const held_ptr& held) {
  environment_.run(held->request, [this, held, alive = Alive()](
                                      const deferred_run_result& result) {
    if (alive() && !stopped_) {
      OnRunEnd(held, result);
    }
  });
}

void deferred_worker::OnRunEnd(const held_ptr& held,
                               const deferred_run_result& result) {
  if (result.response) {
    RecordOutcome(held, *result.response);
    return;
  }
  const bool before_deadline =
      environment_.wall_clock() < held->request.deadline_ms;
  if (before_deadline && IsTransient(result.failure->reason)) {
    RetryRunLater(held);
    return;
  }
  RecordOutcome(held, ToResponse(*result.failure));
}

void deferred_worker::RetryRunLater(const held_ptr& held) {
  held->timer = environment_.loop.After(
      options_.retry_delay, [this, id = held->request.id] {
        const auto found = held_.find(id);
        if (found != held_.end() && !stopped_) {
          Run(found->second);
        }
      });
}

void deferred_worker::RecordOutcome(const held_ptr& held,
                                    const http_response& response) {
  const deferred_request& request = held->request;
  row_write deletion;
  deletion.what = row_write::kind::kDelete;
  deletion.row.key = OpenRequestKey(request.id);
  deletion.expected_version = held->version;
  row_write outcome;
  outcome.row = {OutcomeKey(request.id), 1,
                 EncodeOutcome({request.id, request.caller_name, response})};
  outcome.expected_version = 0;
  environment_.store.Write(
      {deletion, outcome}, "outcome-" + request.id + "-" + environment_.worker,
      [this, held, response, alive = Alive()](const write_result& result) {
        if (alive()) {
          OnRecorded(held, response, result);
        }
      });
}

void deferred_worker::OnRecorded(const held_ptr& held,
                                 const http_response& response,
                                 const write_result& result) {
  // A conflict means that an earlier write of this outcome took effect, or that
  // another worker took the request over and records its outcome.
  if (result.outcome == write_outcome::kCommitted ||
      result.outcome == write_outcome::kConflict) {
    held_.erase(held->request.id);
    return;
  }
  held->timer = environment_.loop.After(
      options_.retry_delay, [this, id = held->request.id, response] {
        const auto found = held_.find(id);
        if (found != held_.end()) {
          RecordOutcome(found->second, response);
        }
      });
}

void deferred_worker::Scan() {
  if (stopped_) {
    return;
  }
  for (const size_t shard : environment_.shards()) {
    ScanShard(shard, "");
  }
}

void deferred_worker::ScanShard(size_t shard, const std::string& after) {
  environment_.store.Query(
      {OpenRequestsPartition(shard), "", after, kMaxScanRows},
      [this, shard, alive = Alive()](const query_result& result) {
        if (!alive() || stopped_) {
          return;
        }
        for (const table_row& row : result.rows) {
          CheckOpenRow(row);
        }
        if (result.rows.size() >= kMaxScanRows) {
          ScanShard(shard, result.rows.back().key.sort);
        }
      });
}

void deferred_worker::CheckOpenRow(const table_row& row) {
  const std::optional<deferred_request> request = DecodeDeferred(row.document);
  if (!request || held_.count(request->id) != 0) {
    return;
  }
  const time_point now = environment_.clock();
  if (request->worker == environment_.worker ||
      monitor_.HasStopped(request->worker, now)) {
    TakeOver(row, *request);
    return;
  }
  environment_.store.Get(
      WorkerKey(request->worker), [this, worker = request->worker,
                                   alive = Alive()](const read_result& found) {
        if (!alive() || found.outcome == read_outcome::kUnavailable) {
          return;
        }
        monitor_.OnHeartbeatRead(
            worker,
            found.outcome == read_outcome::kFound ? found.row.version : 0,
            environment_.clock());
      });
}

void deferred_worker::TakeOver(const table_row& row,
                               const deferred_request& request) {
  deferred_request mine = request;
  mine.worker = environment_.worker;
  environment_.commits.Write(
      PutOpenRequest(mine, row.version),
      [this, mine, version = row.version + 1,
       alive = Alive()](row_outcome outcome) {
        if (alive() && !stopped_ && outcome == row_outcome::kCommitted) {
          HoldAndRun(mine, version);
        }
      });
}

void deferred_worker::Stop() {
  stopped_ = true;
  held_.clear();
}

void deferred_worker::Find(const std::string& id,
                           std::function<void(const deferred_status&)> done) {
  FindOutcome(id, [this, id, done = std::move(done),
                   alive = Alive()](const deferred_status& ended) {
    if (!alive() || ended.what != deferred_status::kind::kMissing) {
      done(ended);
      return;
    }
    FindOpen(id, [this, id, done, alive](const deferred_status& open) {
      if (!alive() || open.what != deferred_status::kind::kMissing) {
        done(open);
        return;
      }
      // It may have ended between the two reads.
      FindOutcome(id, done);
    });
  });
}

void deferred_worker::FindOutcome(
    const std::string& id, std::function<void(const deferred_status&)> done) {
  environment_.store.Get(OutcomeKey(id),
                         [done = std::move(done)](const read_result& found) {
                           const std::optional<deferred_outcome> outcome =
                               found.outcome == read_outcome::kFound
                                   ? DecodeOutcome(found.row.document)
                                   : std::nullopt;
                           deferred_status status;
                           if (outcome) {
                             status = {deferred_status::kind::kEnded,
                                       outcome->caller_name, outcome->response};
                           } else if (found.outcome == read_outcome::kMissing) {
                             status.what = deferred_status::kind::kMissing;
                           }
                           done(status);
                         });
}

void deferred_worker::FindOpen(
    const std::string& id, std::function<void(const deferred_status&)> done) {
  environment_.store.Get(
      OpenRequestKey(id), [done = std::move(done)](const read_result& found) {
        const std::optional<deferred_request> request =
            found.outcome == read_outcome::kFound
                ? DecodeDeferred(found.row.document)
                : std::nullopt;
        deferred_status status;
        if (request) {
          status = {deferred_status::kind::kOpen, request->caller_name, {}};
        } else if (found.outcome == read_outcome::kMissing) {
          status.what = deferred_status::kind::kMissing;
        }
        done(status);
      });
}

}  // namespace skylarkcroft
