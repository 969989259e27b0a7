#ifndef SKYLARKCROFT_TESTS_HISTORY_SKYLARKCROFT_SOAK_OBSERVER_H_
#define SKYLARKCROFT_TESTS_HISTORY_SKYLARKCROFT_SOAK_OBSERVER_H_

#include <functional>
#include <list>
#include <string>
#include <vector>

#include "skylarkcroft/http/skylarkcroft_http_client.h"
#include "skylarkcroft/internal/skylarkcroft_event_loop.h"
#include "tests/history/skylarkcroft_history.h"
#include "tests/history/skylarkcroft_soak_balancer.h"
#include "tests/history/skylarkcroft_soak_targets.h"

namespace skylarkcroft::history {

/// Reads the status of every node, the counts of leaving upstreams, and at the
/// end the runs of every upstream.
class soak_observer {
 public:
  soak_observer(event_loop& loop, http_client& client,
                const soak_targets& targets, run_history& history,
                soak_balancer& balancer);

  void Start();
  void Stop() { timer_.reset(); }
  /// Samples `upstream` from now on.
  void Watch(const endpoint& upstream) { watched_.push_back(upstream); }
  /// Asks every upstream for its runs; an upstream that has left and cannot be
  /// asked any more is skipped.
  void CollectRuns();
  [[nodiscard]] bool idle() const { return calls_.empty(); }

 private:
  using body_fn = std::function<void(const std::string& body, int64_t call_ms)>;

  void Poll();
  void Read(const endpoint& peer, const std::string& target, body_fn use);
  void ReadRuns(const endpoint& upstream, bool at_most_once);

  event_loop& loop_;
  http_client& client_;
  const soak_targets& targets_;
  run_history& history_;
  soak_balancer& balancer_;
  std::vector<endpoint> watched_;
  std::list<http_call_ptr> calls_;
  event_loop::handle_ptr timer_;
};

}  // namespace skylarkcroft::history

#endif  // SKYLARKCROFT_TESTS_HISTORY_SKYLARKCROFT_SOAK_OBSERVER_H_
