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
#include "skylarkcroft/deferred/skylarkcroft_worker_watch.h"
#include "skylarkcroft/http/skylarkcroft_problem.h"
#include "skylarkcroft/internal/skylarkcroft_event_loop.h"
#include "skylarkcroft/internal/skylarkcroft_time.h"
#include "skylarkcroft/platform/skylarkcroft_group_commit.h"
#include "skylarkcroft/platform/skylarkcroft_table_service.h"

namespace skylarkcroft {

/// How one run of a deferred request ended: a response, or a failure.
struct deferred_run_result {
  std::optional<http_response> response;
  std::optional<problem> failure;
};

/// Periods of the deferred work of a node.
struct deferred_options {
  milliseconds heartbeat_period{3000};
  /// Time without a heartbeat after which a worker's requests are taken over.
  milliseconds lease{10000};
  milliseconds scan_period{3000};
  milliseconds retry_delay{1000};

  bool operator==(const deferred_options&) const = default;
};

/// Whether a deferred request was stored.
enum class accept_outcome { kStored, kNotStored, kUnknown };

/// What is known of a deferred request.
struct deferred_status {
  enum class kind { kOpen, kEnded, kMissing, kUnavailable };

  kind what = kind::kUnavailable;
  std::string caller_name;
  http_response response;
};

/// What the deferred work of a node uses; all outlive it.
struct deferred_environment {
  event_loop& loop;
  table_service& store;
  group_commit& commits;
  /// `NODE.INCARNATION` of this process.
  std::string worker;
  /// Starts a run; `done` is called once when it has ended.
  std::function<void(const deferred_request& request,
                     std::function<void(const deferred_run_result&)> done)>
      run;
  /// Shards that this node looks after.
  std::function<std::vector<size_t>()> shards;
  clock_fn clock;
  wall_clock_fn wall_clock;
};

/// Deferred requests: stored before they are accepted, run by the node that
/// accepted them, or by another when that one has stopped, until an outcome is
/// recorded. A request may be run by two nodes at once after a takeover, so a
/// non-idempotent one is claimed like any other; the first outcome holds.
class deferred_worker {
 public:
  deferred_worker(deferred_environment environment,
                  const deferred_options& options);

  /// Stores `request` and starts to run it.
  void Accept(const deferred_request& request,
              std::function<void(accept_outcome)> done);
  void Find(const std::string& id,
            std::function<void(const deferred_status&)> done);
  /// Tells the others that this node runs nothing any more.
  void Stop();

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
  void ScanShard(size_t shard);
  void LookAt(const table_row& row);
  void TakeOver(const table_row& row, const deferred_request& request);
  void Hold(const deferred_request& request, int64_t version);
  void Run(const held_ptr& held);
  void OnRunEnd(const held_ptr& held, const deferred_run_result& result);
  void RunAgainLater(const held_ptr& held);
  void Record(const held_ptr& held, const http_response& response);
  void OnRecorded(const held_ptr& held, const http_response& response,
                  const write_result& result);
  [[nodiscard]] std::function<bool()> Alive() const;

  deferred_environment environment_;
  deferred_options options_;
  worker_watch watch_;
  std::map<std::string, held_ptr> held_;
  int64_t heartbeat_version_ = 0;
  bool stopped_ = false;
  event_loop::handle_ptr heartbeat_timer_;
  event_loop::handle_ptr scan_timer_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace skylarkcroft

#endif  // SKYLARKCROFT_DEFERRED_SKYLARKCROFT_DEFERRED_WORKER_H_
