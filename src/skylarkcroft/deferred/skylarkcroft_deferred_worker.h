#ifndef SKYLARKCROFT_DEFERRED_SKYLARKCROFT_DEFERRED_WORKER_H_
#define SKYLARKCROFT_DEFERRED_SKYLARKCROFT_DEFERRED_WORKER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "skylarkcroft/deferred/skylarkcroft_deferred_record.h"
#include "skylarkcroft/deferred/skylarkcroft_worker_monitor.h"
#include "skylarkcroft/http/skylarkcroft_problem.h"
#include "skylarkcroft/internal/skylarkcroft_event_loop.h"
#include "skylarkcroft/internal/skylarkcroft_time.h"
#include "skylarkcroft/platform/skylarkcroft_group_commit.h"
#include "skylarkcroft/platform/skylarkcroft_table_service.h"

namespace skylarkcroft {

/// Result of one execution of a deferred request: either a response or a
/// failure.
struct deferred_run_result {
  std::optional<http_response> response;
  std::optional<problem> failure;
};

/// Periods and timeouts of a deferred_worker.
struct deferred_options {
  milliseconds heartbeat_period{3000};
  /// Other nodes take over a worker's requests after this time without a
  /// heartbeat.
  milliseconds lease{10000};
  /// Time between scans of this node's shards for requests to take over.
  milliseconds scan_period{3000};
  /// Wait before a request is run again or an outcome is written again.
  milliseconds retry_delay{1000};

  bool operator==(const deferred_options&) const = default;
};

/// Whether a deferred request was stored; kUnknown when the store did not tell.
enum class accept_outcome { kStored, kNotStored, kUnknown };

/// What the store holds about a deferred request.
struct deferred_status {
  enum class kind { kOpen, kEnded, kMissing, kUnavailable };

  kind what = kind::kUnavailable;
  std::string caller_name;
  http_response response;
};

/// Dependencies of a deferred_worker. What is referenced must outlive it.
struct deferred_dependencies {
  event_loop& loop;
  table_service& store;
  group_commit& commits;
  /// `NODE.INCARNATION` of this process.
  std::string worker;
  /// Starts to execute `request`; calls `done` once when it has ended.
  std::function<void(const deferred_request& request,
                     std::function<void(const deferred_run_result&)> done)>
      run;
  /// The shards that this node scans.
  std::function<std::vector<size_t>()> shards;
  clock_fn clock;
  wall_clock_fn wall_clock;
};

/// Accepts, runs and takes over deferred requests. A request is stored before
/// it is accepted, and run until an outcome is recorded: by the node that
/// accepted it or, when that node has stopped, by another. After a takeover two
/// nodes may run the same request at once, so a non-idempotent one needs a
/// claim on its key as usual; the outcome recorded first is final.
class deferred_worker {
 public:
  deferred_worker(deferred_dependencies environment,
                  const deferred_options& options);

  /// Stores `request`, starts to run it, and reports whether it was stored.
  void Accept(const deferred_request& request,
              std::function<void(accept_outcome)> done);
  /// Reads the state of request `id` from the store.
  void Find(const std::string& id,
            std::function<void(const deferred_status&)> done);
  /// Drops all requests and ends heartbeats and scans. Other nodes take the
  /// requests over when the lease has run out.
  void Stop();

  /// Number of deferred requests that this worker holds.
  [[nodiscard]] size_t open() const { return held_.size(); }

 private:
  struct held_request {
    deferred_request request;
    int64_t version = 0;
    event_loop::handle_ptr timer;
  };
  using held_ptr = std::shared_ptr<held_request>;

  void FindOutcome(const std::string& id,
                   std::function<void(const deferred_status&)> done);
  void FindOpen(const std::string& id,
                std::function<void(const deferred_status&)> done);
  void Heartbeat();
  void Scan();
  /// Looks for requests to take over in the rows behind `after`.
  void ScanShard(size_t shard, const std::string& after);
  void CheckOpenRow(const table_row& row);
  void TakeOver(const table_row& row, const deferred_request& request);
  void HoldAndRun(const deferred_request& request, int64_t version);
  void Run(const held_ptr& held);
  void OnRunEnd(const held_ptr& held, const deferred_run_result& result);
  void RetryRunLater(const held_ptr& held);
  void RecordOutcome(const held_ptr& held, const http_response& response);
  void OnRecorded(const held_ptr& held, const http_response& response,
                  const write_result& result);
  [[nodiscard]] std::function<bool()> Alive() const;

  deferred_dependencies environment_;
  deferred_options options_;
  worker_monitor monitor_;
  std::map<std::string, held_ptr> held_;
  int64_t heartbeat_version_ = 0;
  bool stopped_ = false;
  event_loop::handle_ptr heartbeat_timer_;
  event_loop::handle_ptr scan_timer_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_DEFERRED_SKYLARKCROFT_DEFERRED_WORKER_H_
